package org.cicadaford.cell;

import java.util.OptionalLong;

/**
 * Compares the present with times that may never have come.
 *
 * <p>An absent time is empty, not an extreme number: differences to extreme numbers overflow, and a
 * cancelled run was never stopped for that reason.
 */
public final class ElapsedTime {

  private ElapsedTime() {}

  /** Returns whether the event has happened and is at most {@code millis} ago. */
  public static boolean within(OptionalLong atMillis, long nowMillis, long millis) {
    return atMillis.isPresent() && nowMillis - atMillis.getAsLong() <= millis;
  }

  /** Returns whether the event has happened and is more than {@code millis} ago. */
  public static boolean isOlderThan(OptionalLong atMillis, long nowMillis, long millis) {
    return atMillis.isPresent() && nowMillis - atMillis.getAsLong() > millis;
  }

  /** Returns whether the time was set and has not come yet. */
  public static boolean isFuture(OptionalLong untilMillis, long nowMillis) {
    return untilMillis.isPresent() && nowMillis < untilMillis.getAsLong();
  }

  /** Returns the later one of a time that may be absent and one that is not. */
  public static OptionalLong latest(OptionalLong atMillis, long otherMillis) {
    return OptionalLong.of(
        atMillis.isPresent() ? Math.max(atMillis.getAsLong(), otherMillis) : otherMillis);
  }
}
