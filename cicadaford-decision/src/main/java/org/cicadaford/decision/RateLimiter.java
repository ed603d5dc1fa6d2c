package org.cicadaford.decision;

/** Limits the rate of an action with a token bucket that holds one second's worth of tokens. */
final class RateLimiter {

  private static final double MILLIS_PER_SECOND = 1_000;

  private final int perSecond;
  private double available;
  private long filledAtMillis;

  RateLimiter(int perSecond, long nowMillis) {
    this.perSecond = perSecond;
    this.available = perSecond;
    this.filledAtMillis = nowMillis;
  }

  /** Takes one token and returns whether there was one. */
  boolean take(long nowMillis) {
    if (nowMillis > filledAtMillis) {
      double added = (nowMillis - filledAtMillis) * perSecond / MILLIS_PER_SECOND;
      available = Math.min(perSecond, available + added);
      filledAtMillis = nowMillis;
    }
    if (available < 1) {
      return false;
    }
    available--;
    return true;
  }
}
