package org.cicadaford.cell;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.OptionalLong;
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

  /** Time for which a worker that leaves is there if it states none; from the platform's bounds. */
  private static final long DRAIN_MILLIS = 2_000;

  private final String id;
  private long incarnation;
  private ListedWorker listing;
  private boolean listed;
  private OptionalLong leavesAtMillis = OptionalLong.empty();
  private Resources used = Resources.NONE;
  private final Map<String, Placement> placements = new HashMap<>();
  private final Set<Placement> unsettled = new LinkedHashSet<>();
  private long reportedClockMillis;
  private long reportedClockAtMillis;
  private boolean clockKnown;
  private long highestDeadlineMillis;
  private OptionalLong leaseOverAtMillis = OptionalLong.empty();
  private OptionalLong lastAnswerAtMillis = OptionalLong.empty();
  private long processedEnd;
  private long recordedEnd;
  private int renewalsInFlight;
  private boolean lookWanted;
  private OptionalLong renewalDueMillis = OptionalLong.empty();
  private OptionalLong nextRenewalAtMillis = OptionalLong.empty();
  private int failedRenewals;
  private final Set<String> failedJobs = new HashSet<>();
  private OptionalLong quarantinedUntilMillis = OptionalLong.empty();
  private long quarantineMillis;
  private OptionalLong pausedUntilMillis = OptionalLong.empty();

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

  void list(ListedWorker newListing, long nowMillis) {
    if (newListing != listing) {
      long remainingMillis =
          newListing.remainingMillis() > 0 ? newListing.remainingMillis() : DRAIN_MILLIS;
      leavesAtMillis =
          newListing.draining()
              ? OptionalLong.of(nowMillis + remainingMillis)
              : OptionalLong.empty();
    }
    listing = newListing;
    listed = true;
  }

  /** Returns the time until which a worker that leaves is there at least. */
  OptionalLong leavesAtMillis() {
    return leavesAtMillis;
  }

  void unlist() {
    listed = false;
  }

  /** Begins another incarnation: its clock and its list of ends start anew. */
  void reincarnate(long newIncarnation) {
    incarnation = newIncarnation;
    clockKnown = false;
    highestDeadlineMillis = 0;
    leaseOverAtMillis = OptionalLong.empty();
    processedEnd = 0;
    recordedEnd = 0;
    failedJobs.clear();
    quarantineMillis = 0;
    quarantinedUntilMillis = OptionalLong.empty();
  }

  Map<String, Placement> placements() {
    return placements;
  }

  void add(Placement placement) {
    placements.put(placement.task().name(), placement);
    used = used.plus(placement.reservation());
    if (placement.stage() != Placement.Stage.RUNNING) {
      unsettled(placement);
    }
  }

  /** Notes that it is open whether a run has begun. */
  void unsettled(Placement placement) {
    unsettled.add(placement);
  }

  /** Returns the placements of which it is open whether their run has begun. */
  Set<Placement> unsettled() {
    return unsettled;
  }

  void settled(Placement placement) {
    unsettled.remove(placement);
  }

  void remove(Placement placement) {
    if (placements.remove(placement.task().name(), placement)) {
      used = used.minus(placement.reservation());
    }
    unsettled.remove(placement);
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
    leaseOverAt(reportedClockAtMillis + (long) Math.ceil(remaining / (1 - maxClockSlowdown)));
  }

  /** Returns whether all leases of this incarnation have been over for {@code slackMillis}. */
  boolean leaseOver(long nowMillis, long slackMillis) {
    return leaseOverAtMillis.isEmpty()
        || ElapsedTime.isOlderThan(leaseOverAtMillis, nowMillis, slackMillis);
  }

  /** Notes that a lease may last until a time. */
  void leaseOverAt(long atMillis) {
    leaseOverAtMillis = ElapsedTime.latest(leaseOverAtMillis, atMillis);
  }

  /** Returns whether the worker has answered lately, so that its clock is known. */
  boolean reachable(long nowMillis, long unreachableMillis) {
    return clockKnown && answeredWithin(nowMillis, unreachableMillis);
  }

  boolean answeredWithin(long nowMillis, long millis) {
    return ElapsedTime.within(lastAnswerAtMillis, nowMillis, millis);
  }

  boolean answeredAfter(long atMillis) {
    return lastAnswerAtMillis.isPresent() && lastAnswerAtMillis.getAsLong() > atMillis;
  }

  void answered(long nowMillis) {
    lastAnswerAtMillis = OptionalLong.of(nowMillis);
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
    return renewalsInFlight > 0;
  }

  /** Asks for a report at once, even if the worker is still holding back another one. */
  void wantLook() {
    lookWanted = true;
  }

  boolean lookWanted() {
    return lookWanted;
  }

  /**
   * Notes that a renewal was sent whose answer is due at a time. A look may be on its way beside a
   * renewal that waits; the later one of both counts, as answers are not told apart.
   */
  void renewalSent(long dueMillis) {
    renewalsInFlight++;
    lookWanted = false;
    renewalDueMillis = ElapsedTime.latest(renewalDueMillis, dueMillis);
  }

  void renewalOver() {
    renewalsInFlight = Math.max(0, renewalsInFlight - 1);
    if (renewalsInFlight == 0) {
      renewalDueMillis = OptionalLong.empty();
    }
  }

  /**
   * Returns the time of the oldest sign that the worker does not answer, if there is one: an answer
   * that is overdue by {@code graceMillis}.
   */
  OptionalLong silentSinceMillis(long nowMillis, long graceMillis) {
    OptionalLong since =
        ElapsedTime.isOlderThan(renewalDueMillis, nowMillis, graceMillis)
            ? renewalDueMillis
            : OptionalLong.empty();
    for (Placement placement : unsettled) {
      boolean open =
          placement.stage() == Placement.Stage.STARTING
              && placement.orderSent()
              && nowMillis - placement.orderedAtMillis() > graceMillis;
      OptionalLong uncertainSince = placement.uncertainSinceMillis();
      boolean unanswered =
          uncertainSince.isPresent() && !answeredAfter(uncertainSince.getAsLong() - 1);
      if (open || unanswered) {
        since = earlier(since, placement.orderedAtMillis());
      }
    }
    return since;
  }

  private static OptionalLong earlier(OptionalLong atMillis, long otherMillis) {
    return OptionalLong.of(
        atMillis.isPresent() ? Math.min(atMillis.getAsLong(), otherMillis) : otherMillis);
  }

  /** Returns whether the time of the next renewal is more than {@code lateMillis} ago. */
  boolean renewalOverdue(long nowMillis, long lateMillis) {
    return nextRenewalAtMillis.isEmpty()
        || ElapsedTime.isOlderThan(nextRenewalAtMillis, nowMillis, lateMillis);
  }

  /** Returns whether the next renewal has to wait. */
  boolean renewalAhead(long nowMillis) {
    return ElapsedTime.isFuture(nextRenewalAtMillis, nowMillis);
  }

  void nextRenewalAtMillis(long atMillis) {
    nextRenewalAtMillis = OptionalLong.of(atMillis);
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
      quarantinedUntilMillis = OptionalLong.of(nowMillis + quarantineMillis);
    }
  }

  /** Keeps tasks away after the worker has turned down a start. */
  void turnedDown(long nowMillis) {
    pausedUntilMillis = OptionalLong.of(nowMillis + PAUSE_MILLIS);
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
