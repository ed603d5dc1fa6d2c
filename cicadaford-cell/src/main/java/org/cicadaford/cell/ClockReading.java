package org.cicadaford.cell;

/**
 * The present time.
 *
 * @param monotonicMillis time of a clock that never jumps, in milliseconds
 * @param unixMillis time of day as Unix time in milliseconds; it may jump
 */
public record ClockReading(long monotonicMillis, long unixMillis) {

  /**
   * Returns the time since an earlier moment, in milliseconds.
   *
   * <p>The larger difference of both clocks counts: the steady one stands still while the instance
   * is suspended, and the other one may have been set back.
   */
  public long millisSince(ClockReading earlier) {
    return Math.max(monotonicMillis - earlier.monotonicMillis, unixMillis - earlier.unixMillis);
  }
}
