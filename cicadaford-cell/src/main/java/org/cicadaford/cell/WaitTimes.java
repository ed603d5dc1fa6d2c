package org.cicadaford.cell;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.Collectors;

/** Time for which a step's tasks have waited, by cause; used to tell why a job was late. */
final class WaitTimes {

  private final Map<WaitCause, Long> millisByCause = new EnumMap<>(WaitCause.class);
  private WaitCause cause;
  private OptionalLong sinceMillis = OptionalLong.empty();

  /** Notes what the step waits for from now on. */
  void waitsFor(WaitCause newCause, long nowMillis) {
    over(nowMillis);
    cause = newCause;
    sinceMillis = OptionalLong.of(nowMillis);
  }

  /** Notes that no task of the step waits from now on. */
  void over(long nowMillis) {
    if (sinceMillis.isPresent()) {
      millisByCause.merge(cause, nowMillis - sinceMillis.getAsLong(), Long::sum);
      sinceMillis = OptionalLong.empty();
    }
  }

  /** Adds the times of another step. */
  void add(WaitTimes other) {
    other.millisByCause.forEach((key, millis) -> millisByCause.merge(key, millis, Long::sum));
  }

  /** Returns the times as {@code cause:milliseconds} pairs, for the log. */
  String summary() {
    return millisByCause.entrySet().stream()
        .map(entry -> entry.getKey().name().toLowerCase(Locale.ROOT) + ":" + entry.getValue())
        .collect(Collectors.joining(","));
  }
}
