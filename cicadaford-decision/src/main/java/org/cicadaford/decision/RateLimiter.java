package org.cicadaford.decision;

/** Limits the rate of an action with a token bucket that holds one second's worth of tokens. */
final class RateLimiter {

  private static final double MILLIS_PER_SECOND = 1_000;

  private final int perSecond;
  private double tokens;
  private long refilledAtMillis;

  RateLimiter(int perSecond, long nowMillis) {
    this.perSecond = perSecond;
    this.tokens = perSecond;
    this.refilledAtMillis = nowMillis;
  }

  /** Takes one token and returns whether there was one. */
  boolean tryAcquire(long nowMillis) {
    if (nowMillis > refilledAtMillis) {
      double added = (nowMillis - refilledAtMillis) * perSecond / MILLIS_PER_SECOND;
      tokens = Math.min(perSecond, tokens + added);
      refilledAtMillis = nowMillis;
    }
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
