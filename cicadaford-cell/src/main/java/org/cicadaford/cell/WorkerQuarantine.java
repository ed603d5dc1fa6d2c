package org.cicadaford.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Keeps tasks off a worker on which runs of several jobs failed, or which refused a start.
 *
 * <p>After failures of several jobs the worker is suspected: it gets no task for a short time, then
 * one at a time, whatever else runs there. The suspicion ends when a run is done, when a
 * long-running one has run for {@link #PROVEN_MILLIS}, or when {@link #EXPIRY_MILLIS} have passed
 * since the last failure. Designed for cells whose tasks take up to 5 s and fail in up to 5% of
 * their runs, and for services whose tasks fail every few seconds.
 */
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

  /**
   * Time after which a failure no longer counts, in milliseconds. It covers a quarantine of 2 s and
   * a task of 5 s on a slow worker (6.5 s), so that a worker that fails each of its tests only at
   * the end of the task stays suspected.
   */
  static final long EXPIRY_MILLIS = 10_000;

  /**
   * Time after which a long-running task shows that its worker can run it, in milliseconds: three
   * reports. Its later failure says nothing of the worker.
   */
  static final long PROVEN_MILLIS = 3_000;

  private final Map<String, Long> lastFailureByJob = new HashMap<>();
  private OptionalLong lastFailureMillis = OptionalLong.empty();
  private OptionalLong suspectedSinceMillis = OptionalLong.empty();
  private OptionalLong quarantinedUntilMillis = OptionalLong.empty();
  private long quarantineMillis;
  private OptionalLong pausedUntilMillis = OptionalLong.empty();

  /** Forgets the failures of an earlier incarnation of the worker. */
  void reset() {
    succeeded();
    quarantinedUntilMillis = OptionalLong.empty();
  }

  /** Ends the suspicion; returns whether there was one. */
  boolean succeeded() {
    boolean suspected = suspected();
    lastFailureByJob.clear();
    lastFailureMillis = OptionalLong.empty();
    suspectedSinceMillis = OptionalLong.empty();
    quarantineMillis = 0;
    return suspected;
  }

  /**
   * Counts a failed run and quarantines the worker after failures of several jobs; returns whether
   * the worker is suspected from now on.
   */
  boolean failed(String jobId, long nowMillis) {
    lastFailureByJob.put(jobId, nowMillis);
    lastFailureMillis = OptionalLong.of(nowMillis);
    if (!suspected() && lastFailureByJob.size() < FAILURES_BEFORE_QUARANTINE) {
      return false;
    }
    quarantineMillis =
        quarantineMillis == 0
            ? FIRST_QUARANTINE_MILLIS
            : Math.min(2 * quarantineMillis, MAX_QUARANTINE_MILLIS);
    quarantinedUntilMillis = OptionalLong.of(nowMillis + quarantineMillis);
    boolean begins = !suspected();
    if (begins) {
      suspectedSinceMillis = OptionalLong.of(nowMillis);
    }
    return begins;
  }

  /** Forgets failures that no longer count; returns whether a suspicion has ended. */
  boolean expire(long nowMillis) {
    if (ElapsedTime.isOlderThan(lastFailureMillis, nowMillis, EXPIRY_MILLIS)) {
      return succeeded();
    }
    if (!suspected() && !lastFailureByJob.isEmpty()) {
      lastFailureByJob.values().removeIf(atMillis -> nowMillis - atMillis > EXPIRY_MILLIS);
    }
    return false;
  }

  /** Pauses placement on the worker after it refused a start. */
  void startRefused(long nowMillis) {
    pausedUntilMillis = OptionalLong.of(nowMillis + REFUSED_START_PAUSE_MILLIS);
  }

  boolean quarantined(long nowMillis) {
    return ElapsedTime.isFuture(quarantinedUntilMillis, nowMillis)
        || ElapsedTime.isFuture(pausedUntilMillis, nowMillis);
  }

  /** Returns whether the worker gets one task at a time. */
  boolean suspected() {
    return suspectedSinceMillis.isPresent();
  }

  /** Returns whether a placement tests whether the worker still fails what it starts. */
  boolean isTest(Placement placement) {
    return suspected() && placement.placedAtMillis() >= suspectedSinceMillis.getAsLong();
  }

  /** Returns whether a test is in progress among the placements of the worker. */
  boolean underTest(Iterable<Placement> placements) {
    if (suspected()) {
      for (Placement placement : placements) {
        if (isTest(placement)) {
          return true;
        }
      }
    }
    return false;
  }

  /** Returns the number of different jobs that failed lately, since the last success. */
  int failuresInARow() {
    return lastFailureByJob.size();
  }
}
