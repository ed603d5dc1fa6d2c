package org.cicadaford.model;

/**
 * Defines who may submit jobs to a queue.
 *
 * @param name name of the queue
 * @param openToAll whether requests without a team's key are accepted
 */
public record QueuePolicy(String name, boolean openToAll) {}
