package org.cicadaford.decision.call;

/**
 * Measures how fast the endpoints of a service work off calls.
 *
 * <p>The rate is the number of calls in flight over the mean time that a call takes, so that it is
 * right from the first call after an idle time on. Not safe for use by several threads.
 */
public final class ServiceRateMeter {

  /** Shortest and longest time that callers are told to wait, in milliseconds. */
  static final long MIN_RETRY_AFTER_MILLIS = 50;

  static final long MAX_RETRY_AFTER_MILLIS = 30_000;

  /** Time that callers are told to wait before any call has ended, in milliseconds. */
  static final long UNMEASURED_RETRY_AFTER_MILLIS = 1_000;

  /** Weight of the newest call in the mean. */
  private static final double NEWEST_WEIGHT = 0.05;

  private double meanMillis;
  private boolean measured;
  private int inFlight;

  /** Counts a call that was sent. */
  public void onSent() {
    inFlight++;
  }

  /** Counts a call that ended, with an answer or without. */
  public void onEnded(long durationMillis) {
    inFlight--;
    double sample = Math.max(0, durationMillis);
    meanMillis = measured ? meanMillis + NEWEST_WEIGHT * (sample - meanMillis) : sample;
    measured = true;
  }

  /** Returns whether any call has ended. */
  public boolean isMeasured() {
    return measured;
  }

  /** Returns the time in which {@code waitingCount} calls that wait now get their slots. */
  public long estimatedWaitMillis(int waitingCount) {
    if (!measured) {
      return UNMEASURED_RETRY_AFTER_MILLIS;
    }
    double millis = waitingCount * meanMillis / Math.max(1, inFlight);
    return (long) Math.clamp(millis, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
  }
}
