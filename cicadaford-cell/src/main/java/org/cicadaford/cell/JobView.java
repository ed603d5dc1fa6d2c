package org.cicadaford.cell;

/**
 * A job as its submitter may see it.
 *
 * @param team team that it counts for, or an empty string
 * @param queue name of its queue
 * @param phase its stored state
 */
public record JobView(String team, String queue, JobPhase phase) {}
