package org.cicadaford.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Tells a client whether its request was executed. */
public enum RunOutcome {
  /** The request was not executed, and this attempt will never execute it. */
  @JsonProperty("not-run")
  NOT_RUN,
  /** The request was executed to completion. */
  @JsonProperty("ran")
  RAN,
  /** It is unknown whether the request was executed. */
  @JsonProperty("unknown")
  UNKNOWN
}
