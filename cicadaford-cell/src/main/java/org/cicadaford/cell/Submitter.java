package org.cicadaford.cell;

/**
 * Origin of a submitted job.
 *
 * @param team team that the job is accounted to, or an empty string on an open queue
 * @param zone availability zone of the instance that received the job
 */
public record Submitter(String team, String zone) {}
