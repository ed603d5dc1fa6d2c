package org.cicadaford.coordinator;

/** Lists the outcomes of a request to the cell coordinator. */
public enum CellOutcome {
  /** The request was executed, and its effect is stored. */
  DONE,
  /** The job does not exist. */
  NO_SUCH_JOB,
  /** The job description is not valid. */
  INVALID,
  /** The request was not executed and will not be. */
  REFUSED,
  /** The receiver is not the coordinator and did not execute the request. */
  NOT_COORDINATOR,
  /** The request may or may not have been executed; it can be repeated safely. */
  UNKNOWN
}
