package org.cicadaford.model;

/**
 * States who may submit to a queue.
 *
 * @param name name of the queue
 * @param openToAll whether work is accepted without a team's key
 */
public record QueuePolicy(String name, boolean openToAll) {}
