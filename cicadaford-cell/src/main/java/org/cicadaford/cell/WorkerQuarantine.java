package org.cicadaford.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Keeps tasks off a worker on which runs of several jobs failed, or which refused a start.
 *
 * <p>After failures of several jobs the worker is suspected: it gets no task for a short time, then
 * one at a time as a probe, whatever else runs there. The suspicion ends when a run is done, or
 * when {@link #EXPIRY_MILLIS} have passed since the last failure and no probe runs. A long-running
 * task that has run for {@link #PROVEN_MILLIS} is no probe any more, and ends the suspicion if only
 * long-running tasks have failed: it does not show that the worker can complete tasks. Designed for
 * cells whose tasks take up to 5 s and fail in up to 5% of their runs, and for services whose tasks
 * fail every few seconds.
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
   * a task of 5 s on a slow worker (6.5 s). A probe that takes longer keeps the worker suspected
   * until it ends.
   */
  static final long EXPIRY_MILLIS = 10_000;

  /**
   * Time after which a long-running task shows that its worker can run it, in milliseconds: three
   * reports. Its later failure says nothing of the worker.
   */
  static final long PROVEN_MILLIS = 3_000;

  /** Last failure of a job, and whether only long-running tasks of the job have failed. */
  private record Failure(long atMillis, boolean longRunning) {}

  /** Counted failures; complete until the worker is suspected, and not extended from then on. */
  private final Map<String, Failure> lastFailureByJob = new HashMap<>();

  private OptionalLong lastFailureMillis = OptionalLong.empty();
  private OptionalLong suspectedSinceMillis = OptionalLong.empty();
  private boolean onlyLongRunningFailed;
  private OptionalLong quarantinedUntilMillis = OptionalLong.empty();
  private long quarantineMillis;
  private OptionalLong pausedUntilMillis = OptionalLong.empty();

  /** Forgets the failures of an earlier incarnation of the worker. */
  void reset() {
    clearSuspicion();
    quarantinedUntilMillis = OptionalLong.empty();
  }

  /** Forgets all failures and ends the suspicion; returns whether there was one. */
  boolean clearSuspicion() {
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
  boolean failed(String jobId, boolean longRunning, long nowMillis) {
    lastFailureMillis = OptionalLong.of(nowMillis);
    if (suspected()) {
      onlyLongRunningFailed &= longRunning;
    } else {
      Failure earlier = lastFailureByJob.get(jobId);
      boolean onlyLongRunning = longRunning && (earlier == null || earlier.longRunning());
      lastFailureByJob.put(jobId, new Failure(nowMillis, onlyLongRunning));
      if (lastFailureByJob.size() < FAILURES_BEFORE_QUARANTINE) {
        return false;
      }
    }
    quarantineMillis =
        quarantineMillis == 0
            ? FIRST_QUARANTINE_MILLIS
            : Math.min(2 * quarantineMillis, MAX_QUARANTINE_MILLIS);
    quarantinedUntilMillis = OptionalLong.of(nowMillis + quarantineMillis);
    boolean begins = !suspected();
    if (begins) {
      suspectedSinceMillis = OptionalLong.of(nowMillis);
      onlyLongRunningFailed = lastFailureByJob.values().stream().allMatch(Failure::longRunning);
    }
    return begins;
  }

  /**
   * Forgets failures that no longer count; returns whether a suspicion has ended.
   *
   * @param placements placements of the worker
   */
  boolean expire(Iterable<Placement> placements, long nowMillis) {
    if (ElapsedTime.isOlderThan(lastFailureMillis, nowMillis, EXPIRY_MILLIS)) {
      return !probeRuns(placements) && clearSuspicion();
    }
    if (!suspected() && !lastFailureByJob.isEmpty()) {
      lastFailureByJob.values().removeIf(failure -> nowMillis - failure.atMillis() > EXPIRY_MILLIS);
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

  /** Returns whether a placement shows by its end whether the worker still fails what it starts. */
  boolean isProbe(Placement placement) {
    return suspected()
        && placement.placedAtMillis() >= suspectedSinceMillis.getAsLong()
        && !placement.longRunProven();
  }

  /** Returns whether a long-running task that runs shows that the worker does not fail. */
  boolean clearedByLongRun() {
    return suspected() && onlyLongRunningFailed;
  }

  /** Returns whether a probe is among the placements of the worker. */
  boolean probeRuns(Iterable<Placement> placements) {
    if (suspected()) {
      for (Placement placement : placements) {
        if (isProbe(placement)) {
          return true;
        }
      }
    }
    return false;
  }

  /**
   * Returns the number of different jobs that failed lately, since the last success; at most {@link
   * #FAILURES_BEFORE_QUARANTINE}.
   */
  int failuresInARow() {
    return lastFailureByJob.size();
  }
}
