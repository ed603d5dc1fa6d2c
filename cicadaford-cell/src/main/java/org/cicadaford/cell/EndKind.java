package org.cicadaford.cell;

/** Ways in which a run of a task ends. */
public enum EndKind {
  /** The task has done its work. */
  DONE,
  /** The run failed, through the task's fault or the worker's; it counts as an attempt. */
  FAILED,
  /** The run was stopped on an order. */
  STOPPED,
  /** The worker's lease ran out. */
  LAPSED,
  /** Another member of the gang ended. */
  BROKEN,
  /** The other members of the gang did not come in time. */
  ALONE
}
