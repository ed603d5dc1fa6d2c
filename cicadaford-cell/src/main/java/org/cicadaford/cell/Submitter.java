package org.cicadaford.cell;

/**
 * Who handed a job in.
 *
 * @param team team that the job counts for, or an empty string on an open queue
 * @param zone availability zone of the instance that took the job
 */
public record Submitter(String team, String zone) {}
