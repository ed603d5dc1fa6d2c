package org.cicadaford.cell;

/** States of a job as callers see them. */
public enum JobPhase {
  /** No task has started. */
  PENDING,
  /** A task has started. */
  RUNNING,
  /** All tasks are done. */
  COMPLETED,
  /** A task has failed too often. */
  FAILED,
  /** The job was cancelled. */
  CANCELLED;

  /** Returns whether nothing more is to be started. */
  public boolean over() {
    return this == COMPLETED || this == FAILED || this == CANCELLED;
  }
}
