package org.cicadaford.cell;

/**
 * Tracks the age of the worker list, and decides until when starts may be based on it.
 *
 * <p>While the store does not answer this instance, the known capacities and drain states grow old.
 * Running work goes on meanwhile; only new starts need a recent list.
 */
final class WorkerListAge {

  /**
   * Maximum age of the list by which a start is decided or sent, in milliseconds. The list is read
   * each 300 ms; with calls of 250 ms and one that times out after 900 ms it gets 2,000 ms old.
   */
  static final long MAX_AGE_MILLIS = 2_000;

  /**
   * Maximum time from the reading of the list to a start that is based on it, in milliseconds. The
   * rules count a capacity that has shrunk after 4,500 ms. Up to 1,500 ms pass until the worker
   * writes its entry, 250 ms until a slow store shows it, and 150 ms are left for the clock of the
   * worker, which may be slow.
   */
  static final long MAX_START_MILLIS = 2_600;

  private static final String CATEGORY = "worker-list";

  private final CellState state;
  private ClockReading requestedAt;
  private ClockReading firstCheckAt;
  private boolean outdatedReported;

  WorkerListAge(CellState state) {
    this.state = state;
  }

  /** Records that a list has been read whose request was sent at a time. */
  void read(ClockReading requestedAt) {
    this.requestedAt = requestedAt;
  }

  /** Returns whether a list has been read that is recent enough to decide and send starts by it. */
  boolean isCurrent(ClockReading now) {
    return requestedAt != null && now.millisSince(requestedAt) <= MAX_AGE_MILLIS;
  }

  /** Returns the age of the list in milliseconds, or -1 if none has been read. */
  long ageMillis(ClockReading now) {
    return requestedAt == null ? -1 : now.millisSince(requestedAt);
  }

  /** Returns the time for which a start that is sent now, by a current list, may be in transit. */
  long startValidMillis(ClockReading now) {
    return Math.min(state.settings().startValidMillis(), MAX_START_MILLIS - ageMillis(now));
  }

  /** Reports when the list has become too old, and when a current one has been read again. */
  void reportChange(ClockReading now) {
    if (firstCheckAt == null) {
      firstCheckAt = now;
    }
    ClockReading since = requestedAt == null ? firstCheckAt : requestedAt;
    boolean outdated = !isCurrent(now) && now.millisSince(since) > MAX_AGE_MILLIS;
    if (outdated != outdatedReported && (outdated || isCurrent(now))) {
      outdatedReported = outdated;
      state
          .actions()
          .add(
              new Action.ReportDecision(
                  CATEGORY,
                  "cell",
                  outdated ? "outdated" : "current",
                  "age_ms="
                      + ageMillis(now)
                      + " max_age_ms="
                      + MAX_AGE_MILLIS
                      + " workers="
                      + state.workers().size()
                      + " waiting_steps="
                      + state.waiting().all().size()));
    }
  }
}
