package org.cicadaford.decision.call;

/** Reason for which a call got no answer. */
public enum RefusalKind {
  /** More calls wait than the endpoints can take. */
  OVERLOADED,
  /** No endpoint of the service can take calls now. */
  NO_ENDPOINT,
  /** The deadline passed. */
  DEADLINE_PASSED,
  /** The log cannot record the call now. */
  LOG_UNAVAILABLE,
  /** The request id is too old or lies in the future. */
  ID_OUTSIDE_WINDOW,
  /** The request id was used before. */
  ID_USED_BEFORE,
  /** Endpoints refused the call or did not answer it. */
  ENDPOINT_FAILED,
  /** This entry instance is about to stop. */
  STOPPING
}
