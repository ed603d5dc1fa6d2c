package org.cicadaford.cell;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;

/** Keeps tasks off a worker on which runs of several jobs failed, or which refused a start. */
final class WorkerQuarantine {

  /** Number of different jobs that must fail in a row before a worker is quarantined. */
  static final int FAILURES_BEFORE_QUARANTINE = 3;

  /** Duration of the first quarantine, in milliseconds; it doubles with each further failure. */
  private static final long FIRST_QUARANTINE_MILLIS = 1_000;

  /**
   * Maximum duration of a quarantine, in milliseconds. It is below the 3 s for which tasks may wait
   * while there is capacity, because all workers permitted for a step can be in quarantine at the
   * same time.
   */
  private static final long MAX_QUARANTINE_MILLIS = 2_000;

  /** Pause after the worker refused a start, in milliseconds. */
  private static final long REFUSED_START_PAUSE_MILLIS = 500;

  private final Set<String> failedJobs = new HashSet<>();
  private OptionalLong quarantinedUntilMillis = OptionalLong.empty();
  private long quarantineMillis;
  private OptionalLong pausedUntilMillis = OptionalLong.empty();

  /** Forgets the failures of an earlier incarnation of the worker. */
  void reset() {
    failedJobs.clear();
    quarantineMillis = 0;
    quarantinedUntilMillis = OptionalLong.empty();
  }

  void succeeded() {
    failedJobs.clear();
    quarantineMillis = 0;
  }

  /** Counts a failed run and quarantines the worker after consecutive failures of several jobs. */
  void failed(String jobId, long nowMillis) {
    failedJobs.add(jobId);
    if (failedJobs.size() >= FAILURES_BEFORE_QUARANTINE) {
      quarantineMillis =
          quarantineMillis == 0
              ? FIRST_QUARANTINE_MILLIS
              : Math.min(2 * quarantineMillis, MAX_QUARANTINE_MILLIS);
      quarantinedUntilMillis = OptionalLong.of(nowMillis + quarantineMillis);
    }
  }

  /** Pauses placement on the worker after it refused a start. */
  void startRefused(long nowMillis) {
    pausedUntilMillis = OptionalLong.of(nowMillis + REFUSED_START_PAUSE_MILLIS);
  }

  boolean quarantined(long nowMillis) {
    return ElapsedTime.isFuture(quarantinedUntilMillis, nowMillis)
        || ElapsedTime.isFuture(pausedUntilMillis, nowMillis);
  }

  /** Returns the number of different jobs that failed since the last success. */
  int failuresInARow() {
    return failedJobs.size();
  }
}
