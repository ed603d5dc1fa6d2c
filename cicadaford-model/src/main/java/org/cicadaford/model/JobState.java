package org.cicadaford.model;

/** State of a job, or of its part in one availability zone. */
public enum JobState {
  /** Some tasks wait or run. */
  ACTIVE,
  /** All tasks ran to their end. */
  COMPLETED,
  /** A task failed and is not to be repeated, or failed too often. */
  FAILED,
  /** The job was cancelled. */
  CANCELLED,
  /** No instance can ever run the job. */
  IMPOSSIBLE
}
