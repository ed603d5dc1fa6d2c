package org.cicadaford.decision.call;

/**
 * Bounds retries to a part of the calls, so that retries cannot multiply an overload.
 *
 * <p>A token bucket that each call fills a little and each retry takes one token from. Not safe for
 * use by several threads.
 */
public final class RetryBudget {

  /** Retries allowed for each call. */
  public static final double RETRIES_PER_CALL = 0.1;

  /** Tokens that the bucket holds at most, and at the start. */
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
