package org.cicadaford.decision;

import org.cicadaford.model.WorkerCommand;

/**
 * A command that an owner is to send now.
 *
 * @param workerId worker that it goes to
 * @param command the command
 */
public record AddressedCommand(String workerId, WorkerCommand command) {}
