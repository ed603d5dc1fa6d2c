package org.cicadaford.cell;

/** Reasons for stopping a run. */
public enum StopReason {
  /** The job was cancelled. */
  CANCELLED,
  /** The job has failed. */
  JOB_FAILED,
  /** Another member of the gang is not running any more. */
  GANG_BROKEN,
  /** The worker leaves before the run can be done. */
  DRAINING,
  /** More urgent work of the same team needs its part of the team's limit. */
  PREEMPTED,
  /** The run has made no progress. */
  STALLED,
  /** The start was not answered and the run is not shown; it must not start any more. */
  UNCERTAIN,
  /** An earlier run that was given up has turned out to be done. */
  DONE_BEFORE,
  /** The coordinator does not know the run. */
  UNKNOWN_RUN
}
