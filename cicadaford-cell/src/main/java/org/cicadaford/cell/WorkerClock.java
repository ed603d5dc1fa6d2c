package org.cicadaford.cell;

/** The clock of one incarnation of a worker, as its answers show it. */
final class WorkerClock {

  /** Error of the difference of two times in whole milliseconds. */
  private static final long ROUNDING_MILLIS = 1;

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
   * Returns whether the clock in the answer to an order is lower than the clock of this incarnation
   * was when the order was sent, so that the worker has restarted; an answer without a clock has 0.
   *
   * @param maxSlowdown maximum fraction by which the clock may be slow
   */
  boolean wentBack(long clockMillis, long orderedAtMillis, double maxSlowdown) {
    return known && clockMillis > 0 && clockMillis < lowestAt(orderedAtMillis, maxSlowdown);
  }

  /** Returns a lower bound of the clock at a time, which may precede the last answer. */
  private long lowestAt(long atMillis, double maxSlowdown) {
    long elapsedMillis = atMillis - reportedAtMillis;
    double gainedMillis = elapsedMillis > 0 ? elapsedMillis * (1 - maxSlowdown) : elapsedMillis;
    return reportedMillis + (long) Math.floor(gainedMillis) - ROUNDING_MILLIS;
  }
}
