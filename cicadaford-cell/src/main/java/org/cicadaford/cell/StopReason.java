package org.cicadaford.cell;

/** Reasons for stopping a run. */
public enum StopReason {
  /** The job was cancelled. */
  CANCELLED,
  /** The job has failed. */
  JOB_FAILED,
  /** Another member of the gang is no longer running. */
  GANG_BROKEN,
  /** The worker shuts down before the run can complete. */
  DRAINING,
  /** More urgent work of the same team needs its share of the team limit. */
  PREEMPTED,
  /** The run has made no progress. */
  STALLED,
  /** The start order was not answered and the run is not reported; it must no longer start. */
  UNCERTAIN,
  /** An earlier run that was considered lost has completed the task. */
  DONE_BEFORE,
  /** The run is unknown to the coordinator. */
  UNKNOWN_RUN
}
