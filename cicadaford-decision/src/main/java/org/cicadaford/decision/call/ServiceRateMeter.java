package org.cicadaford.decision.call;

/**
 * Measures the rate at which the endpoints of a service complete calls.
 *
 * <p>The rate is the number of calls in flight divided by the mean duration of a call, so that it
 * is accurate from the first call after an idle period. Not thread-safe.
 */
public final class ServiceRateMeter {

  /** Minimum retry delay for callers, in milliseconds. */
  static final long MIN_RETRY_AFTER_MILLIS = 50;

  /** Maximum retry delay for callers, in milliseconds. */
  static final long MAX_RETRY_AFTER_MILLIS = 30_000;

  /** Retry delay for callers before any call has ended, in milliseconds. */
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

  /** Counts a call that ended, with or without an answer. */
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

  /** Returns the estimated time until {@code waitingCount} waiting calls have got their slots. */
  public long estimatedWaitMillis(int waitingCount) {
    if (!measured) {
      return UNMEASURED_RETRY_AFTER_MILLIS;
    }
    double millis = waitingCount * meanMillis / Math.max(1, inFlight);
    return (long) Math.clamp(millis, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
  }
}
