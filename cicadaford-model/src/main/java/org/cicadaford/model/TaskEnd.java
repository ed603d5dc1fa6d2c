package org.cicadaford.model;

/** Reason for the end of a task's placement. */
public enum TaskEnd {
  /** The task ran to completion. */
  COMPLETED,
  /** The task failed on its worker. */
  FAILED,
  /** The worker rejected the start, so the task did not run. */
  NOT_STARTED,
  /** The worker was lost and its lease is known to have expired. */
  LOST,
  /** The task was stopped to free capacity, with a checkpoint if it supports one. */
  PREEMPTED,
  /** The task was stopped because its job was cancelled. */
  CANCELLED,
  /** The task was stopped because its availability zone or worker is being evacuated. */
  EVACUATED
}
