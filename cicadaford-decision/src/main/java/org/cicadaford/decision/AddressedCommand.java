package org.cicadaford.decision;

import org.cicadaford.model.WorkerCommand;

/**
 * Holds a command and the worker that it should be sent to.
 *
 * @param workerId worker that receives the command
 * @param command the command
 */
public record AddressedCommand(String workerId, WorkerCommand command) {}
