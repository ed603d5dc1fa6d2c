package org.cicadaford.cell;

/**
 * The immutable part of a job.
 *
 * @param jobId id chosen by the submitter, by which repeated submissions are recognized
 * @param queue its queue as of its acceptance; a later configuration may remove the queue
 * @param team name of the team that it is accounted to, or an empty string on an open queue
 * @param zone availability zone in which it was submitted; its tasks run there if possible
 * @param acceptedAtMillis Unix time of its acceptance in milliseconds
 * @param excess whether it exceeded the guaranteed rate of its team
 * @param spec description of its steps
 */
public record JobDefinition(
    String jobId,
    Queue queue,
    String team,
    String zone,
    long acceptedAtMillis,
    boolean excess,
    JobSpec spec) {}
