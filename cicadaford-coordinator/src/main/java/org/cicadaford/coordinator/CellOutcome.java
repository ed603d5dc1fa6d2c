package org.cicadaford.coordinator;

/** Outcomes of a request to the cell coordinator. */
public enum CellOutcome {
  /** Done, and stored where that matters. */
  DONE,
  /** There is no such job. */
  NO_SUCH_JOB,
  /** The description cannot be run as it stands. */
  INVALID,
  /** Refused; it has not been done and will not be. */
  REFUSED,
  /** The receiver is not the coordinator; it has done nothing. */
  NOT_COORDINATOR,
  /** It is not known whether it was done; the request may be repeated. */
  UNKNOWN
}
