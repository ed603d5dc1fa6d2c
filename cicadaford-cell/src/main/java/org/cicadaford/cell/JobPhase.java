package org.cicadaford.cell;

/** Phases of a job as shown to callers. */
public enum JobPhase {
  /** No task has started. */
  PENDING,
  /** A task has started. */
  RUNNING,
  /** All tasks are done. */
  COMPLETED,
  /** A task has failed as often as its queue allows. */
  FAILED,
  /** The job was cancelled. */
  CANCELLED;

  /** Returns whether no further task is started. */
  public boolean terminal() {
    return this == COMPLETED || this == FAILED || this == CANCELLED;
  }
}
