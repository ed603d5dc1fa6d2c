package org.cicadaford.cell;

/** Outcomes of a start order. */
public enum StartOutcome {
  /** The run is on the worker. */
  STARTED,
  /** The worker did not start the run because it has no capacity. */
  NO_ROOM,
  /** The worker did not start the run because the ticket is missing or no longer valid. */
  BAD_TICKET,
  /** The worker did not start the run because it is unhealthy or the order arrived too late. */
  NOT_STARTED,
  /** The worker has accepted a coordinator with a higher epoch. */
  FENCED,
  /** No answer arrived, or the answer does not tell whether the run started. */
  UNKNOWN
}
