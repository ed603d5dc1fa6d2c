package org.cicadaford.cell;

/**
 * The stored state of a job as shown to its submitter.
 *
 * @param team team that it is accounted to, or an empty string
 * @param queue name of its queue
 * @param phase its stored phase
 */
public record JobView(String team, String queue, JobPhase phase) {}
