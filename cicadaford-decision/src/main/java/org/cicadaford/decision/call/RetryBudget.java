package org.cicadaford.decision.call;

/**
 * Limits retries to a fraction of the calls, so that retries cannot amplify an overload.
 *
 * <p>Implemented as a token bucket to which each call adds a fraction of a token and from which
 * each retry takes one. Not thread-safe.
 */
public final class RetryBudget {

  /** Number of retries allowed per call on average. */
  public static final double RETRIES_PER_CALL = 0.1;

  /** Capacity of the bucket, which starts full. */
  public static final int BURST = 10;

  // Tokens are counted in thousandths, because sums of 0.1 as a double are not exact.
  private static final int UNITS_PER_TOKEN = 1_000;

  private int units = BURST * UNITS_PER_TOKEN;

  /** Counts a call. */
  public void onCall() {
    int added = (int) (RETRIES_PER_CALL * UNITS_PER_TOKEN);
    units = Math.min(BURST * UNITS_PER_TOKEN, units + added);
  }

  /** Takes a token and returns whether there was one. */
  public boolean tryRetry() {
    if (units < UNITS_PER_TOKEN) {
      return false;
    }
    units -= UNITS_PER_TOKEN;
    return true;
  }
}
