package org.cicadaford.cli.internal.burn;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Events of one objective and one team.
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

  /** Returns the events since {@code earlier}, or all events if the counters began again. */
  EventCount since(EventCount earlier) {
    if (total < earlier.total || bad < earlier.bad) {
      return this;
    }
    return new EventCount(bad - earlier.bad, total - earlier.total);
  }

  /** Returns the part of bad events, or 0 where there are no events. */
  double badPart() {
    return total <= 0 ? 0 : Math.min(1, bad / total);
  }
}
