package org.cicadaford.decision;

import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobState;

/**
 * Holds the state of a job in one zone.
 *
 * @param jobId the job
 * @param description what it runs
 * @param submittedAtMillis time of the submission
 * @param state whether tasks wait or run
 * @param reason why the job was closed; empty while active
 * @param closedAtMillis time at which it ended, or 0
 */
public record JobStatus(
    String jobId,
    JobDescription description,
    long submittedAtMillis,
    JobState state,
    String reason,
    long closedAtMillis) {

  JobStatus closed(JobState newState, String newReason, long nowMillis) {
    return new JobStatus(jobId, description, submittedAtMillis, newState, newReason, nowMillis);
  }
}
