package org.cicadaford.cell;

/**
 * The current time on two clocks.
 *
 * @param monotonicMillis time of a monotonic clock, in milliseconds
 * @param unixMillis Unix time in milliseconds; it may jump
 */
public record ClockReading(long monotonicMillis, long unixMillis) {

  /**
   * Returns the time since an earlier reading, in milliseconds.
   *
   * <p>Returns the larger difference of the two clocks: the monotonic clock stops while the
   * instance is suspended, and the Unix time may have been set back.
   */
  public long millisSince(ClockReading earlier) {
    return Math.max(monotonicMillis - earlier.monotonicMillis, unixMillis - earlier.unixMillis);
  }
}
