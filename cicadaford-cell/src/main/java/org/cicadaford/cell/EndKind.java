package org.cicadaford.cell;

/** Ways in which a run of a task ends. */
public enum EndKind {
  /** The task completed successfully. */
  DONE,
  /** The run failed, whether because of the task or the worker; it counts as an attempt. */
  FAILED,
  /** The run was stopped by an order. */
  STOPPED,
  /** The lease of the worker expired. */
  LAPSED,
  /** Another member of the gang ended. */
  BROKEN,
  /** The other members of the gang did not start in time. */
  ALONE
}
