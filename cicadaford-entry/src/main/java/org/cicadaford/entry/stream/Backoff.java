package org.cicadaford.entry.stream;

import java.util.random.RandomGenerator;

/** Computes exponential backoff delays with full jitter. */
public final class Backoff {

  private final long baseMillis;
  private final long maxMillis;
  private final RandomGenerator random;
  private int failureCount;

  /** Creates a backoff with random delays up to a bound that doubles with each failure. */
  public Backoff(long baseMillis, long maxMillis, RandomGenerator random) {
    this.baseMillis = baseMillis;
    this.maxMillis = maxMillis;
    this.random = random;
  }

  /** Counts a failure and returns the delay before the next attempt, in milliseconds. */
  public long nextDelayMillis() {
    long bound = Math.min(maxMillis, baseMillis << Math.min(failureCount, 20));
    failureCount++;
    return 1 + random.nextLong(bound);
  }

  /** Returns the number of failures since the last success. */
  public int failureCount() {
    return failureCount;
  }

  /** Resets the bound after a success. */
  public void reset() {
    failureCount = 0;
  }
}
