package org.cicadaford.cell;

/** Outcomes of an order to start a task. */
public enum StartOutcome {
  /** The run is present on the worker. */
  STARTED,
  /** The worker has done nothing, for want of room. */
  NO_ROOM,
  /** The worker has done nothing, because the ticket is missing or no longer valid. */
  BAD_TICKET,
  /** The worker has done nothing, because it is unhealthy or the order came too late. */
  NOT_STARTED,
  /** The worker follows a coordinator with a higher epoch. */
  FENCED,
  /** No answer came, or one that leaves open whether the run took place. */
  UNKNOWN
}
