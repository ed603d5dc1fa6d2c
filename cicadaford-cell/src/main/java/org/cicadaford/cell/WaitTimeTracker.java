package org.cicadaford.cell;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.Collectors;

/** Accumulates the waiting time of the tasks of a step by cause, to explain why a job was late. */
final class WaitTimeTracker {

  private final Map<WaitCause, Long> millisByCause = new EnumMap<>(WaitCause.class);
  private WaitCause cause;
  private OptionalLong sinceMillis = OptionalLong.empty();

  /** Starts measuring a wait for the given cause. */
  void startWait(WaitCause newCause, long nowMillis) {
    endWait(nowMillis);
    cause = newCause;
    sinceMillis = OptionalLong.of(nowMillis);
  }

  /** Returns whether the step waits for that cause now. */
  boolean waitsFor(WaitCause waitCause) {
    return sinceMillis.isPresent() && cause == waitCause;
  }

  /** Ends the current wait. */
  void endWait(long nowMillis) {
    if (sinceMillis.isPresent()) {
      millisByCause.merge(cause, nowMillis - sinceMillis.getAsLong(), Long::sum);
      sinceMillis = OptionalLong.empty();
    }
  }

  /** Adds the waiting times of another step. */
  void add(WaitTimeTracker other) {
    other.millisByCause.forEach((key, millis) -> millisByCause.merge(key, millis, Long::sum));
  }

  /** Returns the waiting times as {@code cause:milliseconds} pairs, for the log. */
  String summary() {
    return millisByCause.entrySet().stream()
        .map(entry -> entry.getKey().name().toLowerCase(Locale.ROOT) + ":" + entry.getValue())
        .collect(Collectors.joining(","));
  }
}
