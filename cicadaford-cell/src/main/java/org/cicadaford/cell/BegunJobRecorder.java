package org.cicadaford.cell;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Stores of running jobs that they have begun, so that a successor does not count them as pending.
 *
 * <p>Most jobs are stored for another reason soon after they have begun, which needs no record of
 * its own. The others are marked together at an interval that exceeds the one of the heartbeats in
 * the journal, so that they take the place of a heartbeat.
 */
final class BegunJobRecorder {

  /** Interval at which jobs are marked for the store, in milliseconds. */
  private static final long INTERVAL_MILLIS = 250;

  /** Maximum number of jobs marked at a time; more than begin in an interval at the peak. */
  private static final int MAX_JOBS = 200;

  private final CellState state;
  private final Deque<Job> begunJobs = new ArrayDeque<>();

  /** Number of the first jobs in the queue that had begun before the interval. */
  private int dueCount;

  private long dueAtMillis = Long.MIN_VALUE;

  BegunJobRecorder(CellState state) {
    this.state = state;
  }

  /** Records that a job has begun, which no stored record tells. */
  void begun(Job job) {
    begunJobs.add(job);
  }

  /**
   * Marks for the store the jobs that have begun an interval ago and have not been stored since.
   */
  void tick(long nowMillis) {
    if (nowMillis < dueAtMillis) {
      return;
    }
    dueAtMillis = nowMillis + INTERVAL_MILLIS;
    for (int marked = 0; marked < MAX_JOBS && dueCount > 0; dueCount--) {
      Job job = begunJobs.remove();
      if (!job.begunRecorded() && !job.phase().terminal()) {
        state.markForStore(job);
        marked++;
      }
    }
    dueCount = begunJobs.size();
  }
}
