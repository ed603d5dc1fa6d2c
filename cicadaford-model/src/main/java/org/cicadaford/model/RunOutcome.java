package org.cicadaford.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Tells a caller whether its request was run. */
public enum RunOutcome {
  /** The request was certainly not run, and this attempt will never run it. */
  @JsonProperty("not-run")
  NOT_RUN,
  /** The request was run to its end. */
  @JsonProperty("ran")
  RAN,
  /** It cannot be told whether the request was run. */
  @JsonProperty("unknown")
  UNKNOWN
}
