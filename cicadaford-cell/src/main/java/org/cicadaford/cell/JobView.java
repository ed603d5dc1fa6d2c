package org.cicadaford.cell;

/**
 * The state of a job as shown to its submitter.
 *
 * @param team team that it is accounted to, or an empty string
 * @param queue name of its queue
 * @param stored whether the job is stored; until then it is not accepted
 * @param phase its stored phase
 * @param ending whether the job has ended and its end is being stored
 */
public record JobView(String team, String queue, boolean stored, JobPhase phase, boolean ending) {}
