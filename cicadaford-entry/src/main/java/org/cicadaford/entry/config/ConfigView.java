package org.cicadaford.entry.config;

import org.cicadaford.decision.ConfigState;

/**
 * Holds a configuration that later records do not change. Readers must not apply records to it.
 *
 * @param state the configuration
 * @param confirmedAtMillis time at which the log last confirmed that it is the newest; 0 if never
 */
public record ConfigView(ConfigState state, long confirmedAtMillis) {

  /** Returns the offset of the last record applied, or -1. */
  public long version() {
    return state.version();
  }

  /** Returns whether the configuration was confirmed within the last {@code maxAgeMillis}. */
  public boolean isFresh(long maxAgeMillis, long nowMillis) {
    return confirmedAtMillis > 0 && nowMillis - confirmedAtMillis <= maxAgeMillis;
  }
}
