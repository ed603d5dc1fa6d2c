package org.cicadaford.cell;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.cicadaford.model.Resources;

/** A worker as the coordinator knows it: what is listed, what it reported and what is on it. */
final class Worker {

  /** Failures of different jobs in a row after which a worker gets no task for a while. */
  static final int FAILURES_BEFORE_QUARANTINE = 3;

  /** First time without tasks, in milliseconds; it doubles with each further failure. */
  private static final long FIRST_QUARANTINE_MILLIS = 1_000;

  /**
   * Longest time without tasks, in milliseconds. It is under the 3 s for which work may wait while
   * there is room, as all workers that may run a step can be in quarantine at once.
   */
  private static final long MAX_QUARANTINE_MILLIS = 2_000;

  /** Time without new tasks after a start was turned down, in milliseconds. */
  private static final long PAUSE_MILLIS = 500;

  private final String id;
  private long incarnation;
  private ListedWorker listing;
  private boolean listed;
  private Resources used = Resources.NONE;
  private final Map<String, Placement> placements = new HashMap<>();
  private long reportedClockMillis;
  private long reportedClockAtMillis;
  private boolean clockKnown;
  private long highestDeadlineMillis;
  private long leaseOverAtMillis = Long.MIN_VALUE;
  private long lastAnswerAtMillis = Long.MIN_VALUE / 2;
  private long processedEnd;
  private long recordedEnd;
  private boolean renewalInFlight;
  private boolean lookWanted;
  private long renewalDueMillis = Long.MAX_VALUE;
  private long nextRenewalAtMillis;
  private int failedRenewals;
  private final Set<String> failedJobs = new HashSet<>();
  private long quarantinedUntilMillis = Long.MIN_VALUE;
  private long quarantineMillis;
  private long pausedUntilMillis = Long.MIN_VALUE;

  Worker(String id, long incarnation) {
    this.id = id;
    this.incarnation = incarnation;
  }

  String id() {
    return id;
  }

  long incarnation() {
    return incarnation;
  }

  ListedWorker listing() {
    return listing;
  }

  boolean listed() {
    return listed;
  }

  void list(ListedWorker newListing) {
    listing = newListing;
    listed = true;
  }

  void unlist() {
    listed = false;
  }

  /** Begins another incarnation: its clock and its list of ends start anew. */
  void reincarnate(long newIncarnation) {
    incarnation = newIncarnation;
    clockKnown = false;
    highestDeadlineMillis = 0;
    leaseOverAtMillis = Long.MIN_VALUE;
    processedEnd = 0;
    recordedEnd = 0;
    failedJobs.clear();
    quarantineMillis = 0;
    quarantinedUntilMillis = Long.MIN_VALUE;
  }

  Map<String, Placement> placements() {
    return placements;
  }

  void add(Placement placement) {
    placements.put(placement.task().name(), placement);
    used = used.plus(placement.reservation());
  }

  void remove(Placement placement) {
    if (placements.remove(placement.task().name(), placement)) {
      used = used.minus(placement.reservation());
    }
  }

  Resources free() {
    return listing.capacity().minus(used);
  }

  /** Takes the worker's clock from an answer that arrived at {@code nowMillis}. */
  void clock(long clockMillis, long nowMillis) {
    if (!clockKnown || clockMillis >= reportedClockMillis) {
      clockKnown = true;
      reportedClockMillis = clockMillis;
      reportedClockAtMillis = nowMillis;
    }
  }

  boolean clockKnown() {
    return clockKnown;
  }

  /** Returns a lower estimate of the worker's clock. */
  long clockAt(long nowMillis) {
    return reportedClockMillis + (nowMillis - reportedClockAtMillis);
  }

  /** Notes that an order with this deadline on the worker's clock was sent. */
  void deadlineSent(long deadlineMillis, double maxClockSlowdown) {
    highestDeadlineMillis = Math.max(highestDeadlineMillis, deadlineMillis);
    long remaining = highestDeadlineMillis - reportedClockMillis;
    leaseOverAtMillis =
        Math.max(
            leaseOverAtMillis,
            reportedClockAtMillis + (long) Math.ceil(remaining / (1 - maxClockSlowdown)));
  }

  /** Returns the time after which no run of this incarnation can be present any more. */
  long leaseOverAtMillis() {
    return leaseOverAtMillis;
  }

  void leaseOverAt(long atMillis) {
    leaseOverAtMillis = Math.max(leaseOverAtMillis, atMillis);
  }

  long lastAnswerAtMillis() {
    return lastAnswerAtMillis;
  }

  void answered(long nowMillis) {
    lastAnswerAtMillis = nowMillis;
    failedRenewals = 0;
  }

  long processedEnd() {
    return processedEnd;
  }

  void processedEnd(long number) {
    processedEnd = number;
  }

  /** Returns the number of the last end whose effects are stored. */
  long recordedEnd() {
    return recordedEnd;
  }

  void recordedEnd(long number) {
    recordedEnd = Math.max(recordedEnd, number);
  }

  boolean renewalInFlight() {
    return renewalInFlight;
  }

  /** Asks for a report at once, even if the worker is still holding back another one. */
  void wantLook() {
    lookWanted = true;
  }

  boolean lookWanted() {
    return lookWanted;
  }

  /** Notes that a renewal was sent whose answer is due at a time. */
  void renewalSent(long dueMillis) {
    renewalInFlight = true;
    lookWanted = false;
    renewalDueMillis = dueMillis;
  }

  void renewalOver() {
    renewalInFlight = false;
    renewalDueMillis = Long.MAX_VALUE;
  }

  /**
   * Returns the time of the oldest sign that the worker does not answer, or {@code Long.MAX_VALUE}:
   * an answer that is overdue by {@code graceMillis}.
   */
  long silentSinceMillis(long nowMillis, long graceMillis) {
    long since = nowMillis - renewalDueMillis > graceMillis ? renewalDueMillis : Long.MAX_VALUE;
    for (Placement placement : placements.values()) {
      boolean open = placement.stage() == Placement.Stage.STARTING && placement.orderSent();
      if (open && nowMillis - placement.orderedAtMillis() > graceMillis) {
        since = Math.min(since, placement.orderedAtMillis());
      }
      boolean unanswered =
          placement.stage() == Placement.Stage.UNCERTAIN
              && placement.uncertainSinceMillis() != Long.MAX_VALUE
              && placement.uncertainSinceMillis() > lastAnswerAtMillis;
      if (unanswered) {
        since = Math.min(since, placement.orderedAtMillis());
      }
    }
    return since;
  }

  long nextRenewalAtMillis() {
    return nextRenewalAtMillis;
  }

  void nextRenewalAtMillis(long atMillis) {
    nextRenewalAtMillis = atMillis;
  }

  int failedRenewals() {
    return failedRenewals;
  }

  void renewalFailed() {
    failedRenewals++;
  }

  void succeeded() {
    failedJobs.clear();
    quarantineMillis = 0;
  }

  /** Counts a failed run and quarantines the worker when several jobs have failed in a row. */
  void failed(String jobId, long nowMillis) {
    failedJobs.add(jobId);
    if (failedJobs.size() >= FAILURES_BEFORE_QUARANTINE) {
      quarantineMillis =
          quarantineMillis == 0
              ? FIRST_QUARANTINE_MILLIS
              : Math.min(2 * quarantineMillis, MAX_QUARANTINE_MILLIS);
      quarantinedUntilMillis = nowMillis + quarantineMillis;
    }
  }

  /** Keeps tasks away after the worker has turned down a start. */
  void turnedDown(long nowMillis) {
    pausedUntilMillis = nowMillis + PAUSE_MILLIS;
  }

  boolean quarantined(long nowMillis) {
    return nowMillis < quarantinedUntilMillis || nowMillis < pausedUntilMillis;
  }

  /** Returns the number of different jobs that failed since the last success. */
  int failuresInARow() {
    return failedJobs.size();
  }
}
