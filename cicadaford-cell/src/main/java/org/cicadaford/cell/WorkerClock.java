package org.cicadaford.cell;

/** The clock of one incarnation of a worker, as its answers show it. */
final class WorkerClock {

  private long reportedMillis;
  private long reportedAtMillis;
  private boolean known;

  /** Updates the clock from an answer that arrived at {@code nowMillis}. */
  void update(long clockMillis, long nowMillis) {
    if (!known || clockMillis >= reportedMillis) {
      known = true;
      reportedMillis = clockMillis;
      reportedAtMillis = nowMillis;
    }
  }

  boolean known() {
    return known;
  }

  /** Returns a lower bound of the clock. */
  long at(long nowMillis) {
    return reportedMillis + (nowMillis - reportedAtMillis);
  }

  /** Returns the latest time at which the clock, which may be slow, shows a value. */
  long latestTimeOf(long clockMillis, double maxSlowdown) {
    long remaining = clockMillis - reportedMillis;
    return reportedAtMillis + (long) Math.ceil(remaining / (1 - maxSlowdown));
  }

  /**
   * Returns whether the clock in the answer to an order is lower than in an earlier answer, so that
   * the worker has restarted; an answer without a clock has 0.
   */
  boolean wentBack(long clockMillis, long orderedAtMillis) {
    return known
        && clockMillis > 0
        && reportedAtMillis <= orderedAtMillis
        && clockMillis < reportedMillis;
  }
}
