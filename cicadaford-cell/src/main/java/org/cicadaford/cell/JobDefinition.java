package org.cicadaford.cell;

/**
 * The part of a job that never changes.
 *
 * @param jobId id chosen by the submitter, which makes repeated submissions one job
 * @param queue its queue as of the acceptance; a later configuration may remove it
 * @param team name of the team that it counts for, or an empty string on an open queue
 * @param zone availability zone in which it was handed in; its tasks run there if there is room
 * @param acceptedAtMillis Unix time of its acceptance in milliseconds
 * @param excess whether it came beyond the rate that its team is owed
 * @param spec what to run
 */
public record JobDefinition(
    String jobId,
    Queue queue,
    String team,
    String zone,
    long acceptedAtMillis,
    boolean excess,
    JobSpec spec) {}
