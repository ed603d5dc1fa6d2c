package org.cicadaford.cell;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.cicadaford.cell.learning.WorkerSpeed;
import org.cicadaford.model.Resources;

/** A worker with its listing, its last reports and its placements. */
final class Worker {

  /**
   * Time after which a renewal has reached a worker that is up, in milliseconds. A closed
   * connection fails earlier after the expected answer, a silent one with the timeout of the
   * answer.
   */
  private static final long MIN_PENDING_MILLIS = 20;

  private final String id;
  private final IncarnationTracker incarnations;

  /** Time until the shutdown of a draining worker that does not report it. */
  private final long drainMillis;

  private ListedWorker listing;
  private boolean listed;
  private OptionalLong shutdownAtMillis = OptionalLong.empty();
  private Resources used = Resources.NONE;
  private final Map<String, Placement> placements = new HashMap<>();
  private final Set<Placement> unconfirmed = new LinkedHashSet<>();
  private final EarlierOrders earlierOrders = new EarlierOrders();
  private final WorkerQuarantine quarantine = new WorkerQuarantine();
  private final StartSurvivalTracker startSurvival = new StartSurvivalTracker();
  private final UnplacedRuns unplacedRuns = new UnplacedRuns();
  private WorkerSpeed speed = new WorkerSpeed();
  private WorkerClock clock = new WorkerClock();
  private long highestDeadlineMillis;
  private OptionalLong leaseExpiryMillis = OptionalLong.empty();
  private OptionalLong lastAnswerAtMillis = OptionalLong.empty();
  private EndAcknowledgements ends = new EndAcknowledgements();
  private int renewalsInFlight;
  private boolean immediateReportRequested;
  private OptionalLong renewalDueMillis = OptionalLong.empty();
  private OptionalLong renewalSentAtMillis = OptionalLong.empty();
  private OptionalLong nextRenewalAtMillis = OptionalLong.empty();
  private int failedRenewals;

  Worker(String id, long incarnation) {
    this(id, incarnation, 0, DeploymentBounds.DEFAULT.drainMillis());
  }

  /** Creates a worker that may have received tokens up to an offset from this coordinator. */
  Worker(String id, long incarnation, int tokenOffset, long drainMillis) {
    this.id = id;
    this.drainMillis = drainMillis;
    this.incarnations = new IncarnationTracker(incarnation, tokenOffset);
  }

  String id() {
    return id;
  }

  long incarnation() {
    return incarnations.current();
  }

  IncarnationTracker incarnations() {
    return incarnations;
  }

  ListedWorker listing() {
    return listing;
  }

  boolean listed() {
    return listed;
  }

  void updateListing(ListedWorker newListing, long nowMillis) {
    if (newListing != listing) {
      long remainingMillis =
          newListing.remainingMillis() > 0 ? newListing.remainingMillis() : drainMillis;
      shutdownAtMillis =
          newListing.draining()
              ? OptionalLong.of(nowMillis + remainingMillis)
              : OptionalLong.empty();
    }
    listing = newListing;
    listed = true;
    incarnations.clearLowerListing();
  }

  /** Returns the earliest time at which a draining worker shuts down. */
  OptionalLong shutdownAtMillis() {
    return shutdownAtMillis;
  }

  void unlist() {
    listed = false;
    incarnations.clearLowerListing();
  }

  /** Resets the clock, the run ends and the failures for a new incarnation of the worker. */
  void beginIncarnation(long newIncarnation, long eventNumber) {
    incarnations.begin(newIncarnation, eventNumber);
    clock = new WorkerClock();
    highestDeadlineMillis = 0;
    leaseExpiryMillis = OptionalLong.empty();
    renewalsInFlight = 0;
    renewalDueMillis = OptionalLong.empty();
    ends = new EndAcknowledgements();
    quarantine.reset();
    speed = new WorkerSpeed();
  }

  Map<String, Placement> placements() {
    return placements;
  }

  void add(Placement placement) {
    placements.put(placement.task().name(), placement);
    used = used.plus(placement.reservation());
    if (placement.stage() != Placement.Stage.RUNNING) {
      markUnconfirmed(placement);
    }
  }

  /** Records that it is unknown whether a run has started. */
  void markUnconfirmed(Placement placement) {
    unconfirmed.add(placement);
  }

  /** Returns the placements of which it is unknown whether the run has started. */
  Set<Placement> unconfirmed() {
    return unconfirmed;
  }

  void markConfirmed(Placement placement) {
    unconfirmed.remove(placement);
  }

  void remove(Placement placement) {
    if (placements.remove(placement.task().name(), placement)) {
      used = used.minus(placement.reservation());
    }
    unconfirmed.remove(placement);
    startSurvival.endIsolation(placement);
  }

  /** Returns the quarantine of the worker after failed runs. */
  WorkerQuarantine quarantine() {
    return quarantine;
  }

  /** Returns the learnt speed of this incarnation. */
  WorkerSpeed speed() {
    return speed;
  }

  /** Returns the tracker of the starts that the worker has to survive. */
  StartSurvivalTracker startSurvival() {
    return startSurvival;
  }

  Resources free() {
    return listing.capacity().minus(used);
  }

  /** Returns the clock of this incarnation, as its answers show it. */
  WorkerClock clock() {
    return clock;
  }

  /** Records that an order with this deadline on the clock of the worker was sent. */
  void deadlineSent(long deadlineMillis, double maxClockSlowdown) {
    highestDeadlineMillis = Math.max(highestDeadlineMillis, deadlineMillis);
    recordLeaseExpiry(clock.latestTimeOf(highestDeadlineMillis, maxClockSlowdown));
  }

  /** Returns whether all leases of this incarnation expired more than {@code marginMillis} ago. */
  boolean leasesExpired(long nowMillis, long marginMillis) {
    return leaseExpiryMillis.isEmpty()
        || ElapsedTime.isOlderThan(leaseExpiryMillis, nowMillis, marginMillis);
  }

  /** Records that a lease may last until a time. */
  void recordLeaseExpiry(long atMillis) {
    leaseExpiryMillis = ElapsedTime.latest(leaseExpiryMillis, atMillis);
  }

  /** Returns the orders that may start runs on a new incarnation. */
  EarlierOrders earlierOrders() {
    return earlierOrders;
  }

  /** Returns the reported runs that are not placed, and so not counted. */
  UnplacedRuns unplacedRuns() {
    return unplacedRuns;
  }

  /**
   * Returns whether the worker can run tasks: its clock and incarnation are known, it has answered
   * recently, and its capacity is only used by placements.
   */
  boolean reachable(long nowMillis, long unreachableMillis) {
    boolean capacityKnown = unplacedRuns.isEmpty() && !earlierOrders.mayStart();
    boolean known = clock.known() && !incarnations.inDoubt();
    return known && capacityKnown && answeredWithin(nowMillis, unreachableMillis);
  }

  boolean answeredWithin(long nowMillis, long millis) {
    return ElapsedTime.within(lastAnswerAtMillis, nowMillis, millis);
  }

  boolean answeredAfter(long atMillis) {
    return lastAnswerAtMillis.isPresent() && lastAnswerAtMillis.getAsLong() > atMillis;
  }

  OptionalLong lastAnswerAtMillis() {
    return lastAnswerAtMillis;
  }

  /** Returns the latest time until which a lease of this incarnation may last. */
  OptionalLong leaseExpiryMillis() {
    return leaseExpiryMillis;
  }

  void answered(long nowMillis) {
    lastAnswerAtMillis = OptionalLong.of(nowMillis);
    failedRenewals = 0;
  }

  /** Returns the acknowledgements of the run ends of this incarnation. */
  EndAcknowledgements ends() {
    return ends;
  }

  /** Returns whether the worker has not answered a start for a time. */
  boolean startUnansweredFor(long nowMillis, long millis) {
    for (Placement placement : unconfirmed) {
      if (placement.startUnansweredFor(nowMillis, millis)) {
        return true;
      }
    }
    return false;
  }

  int renewalsInFlight() {
    return renewalsInFlight;
  }

  boolean renewalInFlight() {
    return renewalsInFlight > 0;
  }

  /**
   * Returns the address to which renewals are sent: that of a lower incarnation if the current one
   * has no listing or does not answer.
   */
  String renewalAddress(long nowMillis, long unreachableMillis) {
    boolean lower =
        incarnations.lowerListing() != null
            && (listing == null || !answeredWithin(nowMillis, unreachableMillis));
    return lower ? incarnations.lowerListing().address() : listing.address();
  }

  /** Requests an immediate report, even if an earlier renewal is still unanswered. */
  void requestImmediateReport() {
    immediateReportRequested = true;
  }

  boolean immediateReportRequested() {
    return immediateReportRequested;
  }

  /**
   * Records that a renewal was sent whose answer is due at a time. An immediate renewal may be in
   * flight next to a delayed one; the later time applies, as answers cannot be told apart.
   */
  void renewalSent(long nowMillis, long dueMillis) {
    renewalsInFlight++;
    renewalSentAtMillis = OptionalLong.of(nowMillis);
    immediateReportRequested = false;
    ends.endDeferral();
    renewalDueMillis = ElapsedTime.latest(renewalDueMillis, dueMillis);
  }

  /**
   * Returns whether the connection of a renewal that fails now was closed while the worker delayed
   * its answer, which mostly shows that the worker was alive until then.
   */
  boolean brokeOffRenewal(long waitMillis, long nowMillis) {
    long pendingMillis = pendingMillis(waitMillis, nowMillis);
    return failedRenewals == 0 && pendingMillis > MIN_PENDING_MILLIS && pendingMillis <= waitMillis;
  }

  /** Returns whether the connection of a renewal that fails now was closed or refused. */
  boolean closedRenewal(long waitMillis, long nowMillis) {
    return pendingMillis(waitMillis, nowMillis) <= waitMillis + MIN_PENDING_MILLIS;
  }

  private long pendingMillis(long waitMillis, long nowMillis) {
    return nowMillis - (renewalDueMillis.orElse(nowMillis) - waitMillis);
  }

  boolean renewalSentWithin(long nowMillis, long millis) {
    return ElapsedTime.within(renewalSentAtMillis, nowMillis, millis);
  }

  void renewalFinished() {
    renewalsInFlight = Math.max(0, renewalsInFlight - 1);
    if (renewalsInFlight == 0) {
      renewalDueMillis = OptionalLong.empty();
    }
  }

  /**
   * Returns the time of the oldest request whose answer is overdue by {@code graceMillis}, if any.
   */
  OptionalLong unresponsiveSinceMillis(long nowMillis, long graceMillis) {
    OptionalLong since =
        ElapsedTime.isOlderThan(renewalDueMillis, nowMillis, graceMillis)
            ? renewalDueMillis
            : OptionalLong.empty();
    for (Placement placement : unconfirmed) {
      boolean startUnanswered =
          placement.stage() == Placement.Stage.STARTING
              && placement.orderSent()
              && nowMillis - placement.orderedAtMillis() > graceMillis;
      OptionalLong uncertainSince = placement.uncertainSinceMillis();
      boolean reportOutstanding =
          uncertainSince.isPresent() && !answeredAfter(uncertainSince.getAsLong() - 1);
      if (startUnanswered || reportOutstanding) {
        since = earlier(since, placement.orderedAtMillis());
      }
    }
    return since;
  }

  private static OptionalLong earlier(OptionalLong atMillis, long otherMillis) {
    return OptionalLong.of(
        atMillis.isPresent() ? Math.min(atMillis.getAsLong(), otherMillis) : otherMillis);
  }

  /** Returns whether the next renewal has been due for more than {@code lateMillis}. */
  boolean renewalOverdue(long nowMillis, long lateMillis) {
    return nextRenewalAtMillis.isEmpty()
        || ElapsedTime.isOlderThan(nextRenewalAtMillis, nowMillis, lateMillis);
  }

  /** Returns whether the next renewal is not due yet. */
  boolean renewalNotDue(long nowMillis) {
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
}
