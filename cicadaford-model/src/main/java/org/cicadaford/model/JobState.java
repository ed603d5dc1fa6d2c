package org.cicadaford.model;

/** State of a job, or of its part in one availability zone. */
public enum JobState {
  /** Some tasks are waiting or running. */
  ACTIVE,
  /** All tasks ran to completion. */
  COMPLETED,
  /** A task failed and is not repeatable, or failed too often. */
  FAILED,
  /** The job was cancelled. */
  CANCELLED,
  /** No worker can ever run the job. */
  IMPOSSIBLE
}
