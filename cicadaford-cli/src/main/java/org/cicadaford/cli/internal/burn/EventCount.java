package org.cicadaford.cli.internal.burn;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Counts the events of an objective for a team.
 *
 * @param bad events that miss the objective
 * @param total all events
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record EventCount(double bad, double total) {

  static final EventCount NONE = new EventCount(0, 0);

  EventCount plus(EventCount other) {
    return new EventCount(bad + other.bad, total + other.total);
  }

  /** Returns the events since {@code earlier}, or all events if the counters were reset. */
  EventCount since(EventCount earlier) {
    if (total < earlier.total || bad < earlier.bad) {
      return this;
    }
    return new EventCount(bad - earlier.bad, total - earlier.total);
  }

  /** Returns the fraction of bad events, or 0 if there are no events. */
  double badFraction() {
    return total <= 0 ? 0 : Math.min(1, bad / total);
  }
}
