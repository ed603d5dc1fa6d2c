package org.cicadaford.cell;

import java.util.OptionalLong;

/**
 * Compares the current time with times that may be unset.
 *
 * <p>An unset time is empty rather than an extreme number, because differences to extreme numbers
 * overflow; such an overflow once prevented the stop of a cancelled run.
 */
public final class ElapsedTime {

  private ElapsedTime() {}

  /** Returns whether the time is set and at most {@code millis} ago. */
  public static boolean within(OptionalLong atMillis, long nowMillis, long millis) {
    return atMillis.isPresent() && nowMillis - atMillis.getAsLong() <= millis;
  }

  /** Returns whether the time is set and more than {@code millis} ago. */
  public static boolean isOlderThan(OptionalLong atMillis, long nowMillis, long millis) {
    return atMillis.isPresent() && nowMillis - atMillis.getAsLong() > millis;
  }

  /** Returns whether the time is set and in the future. */
  public static boolean isFuture(OptionalLong untilMillis, long nowMillis) {
    return untilMillis.isPresent() && nowMillis < untilMillis.getAsLong();
  }

  /** Returns the later of an optional time and another time. */
  public static OptionalLong latest(OptionalLong atMillis, long otherMillis) {
    return OptionalLong.of(
        atMillis.isPresent() ? Math.max(atMillis.getAsLong(), otherMillis) : otherMillis);
  }
}
