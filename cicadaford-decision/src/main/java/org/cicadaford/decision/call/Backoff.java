package org.cicadaford.decision.call;

import org.apache.commons.rng.UniformRandomProvider;

/** Exponential backoff with full jitter. */
public final class Backoff {

  private static final int MAX_DOUBLINGS = 20;

  private final long baseMillis;
  private final long maxMillis;
  private final UniformRandomProvider random;

  /** Creates a backoff that draws from 0 to {@code baseMillis} before the first retry. */
  public Backoff(long baseMillis, long maxMillis, UniformRandomProvider random) {
    this.baseMillis = baseMillis;
    this.maxMillis = maxMillis;
    this.random = random;
  }

  /**
   * Returns the time to wait before a retry.
   *
   * @param retryNumber number of the retry, from 1
   */
  public long delayMillis(int retryNumber) {
    long bound = baseMillis << Math.min(retryNumber - 1, MAX_DOUBLINGS);
    return random.nextLong(Math.min(maxMillis, bound) + 1);
  }
}
