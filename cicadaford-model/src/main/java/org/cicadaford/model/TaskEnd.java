package org.cicadaford.model;

/** Why a placement of a task ended. */
public enum TaskEnd {
  /** The task ran to its end. */
  COMPLETED,
  /** The task failed on its worker. */
  FAILED,
  /** The worker refused the start, so the task did not run. */
  NOT_STARTED,
  /** The worker was lost and its lease has certainly ended. */
  LOST,
  /** The task was stopped to make room, with a checkpoint where it can. */
  PREEMPTED,
  /** The task was stopped because its job was cancelled. */
  CANCELLED,
  /** The task was stopped because its availability zone or worker is being emptied. */
  EVACUATED
}
