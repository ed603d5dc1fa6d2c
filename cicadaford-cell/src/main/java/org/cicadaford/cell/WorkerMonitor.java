package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Monitors workers by their listings and reports, and decides which runs have ended. */
final class WorkerMonitor {

  /**
   * Time after which an unanswered start is checked by a report of the worker, in milliseconds.
   * Most answers take 5 ms, and urgent tasks of 0.6 s tolerate a delay of 0.5 s.
   */
  private static final long START_CHECK_MILLIS = 100;

  /** Time after which an unanswered stop order is sent again, in milliseconds. */
  private static final long STOP_RETRY_MILLIS = 350;

  /** Retry interval of renewals to a worker that does not answer, in milliseconds. */
  private static final long UNREACHABLE_RETRY_MILLIS = 300;

  /** Margin on the expiry of leases for scheduling delays, in milliseconds. */
  private static final long LEASE_MARGIN_MILLIS = 150;

  private final CellState state;
  private final RunEndHandler endHandler;
  private final PlacementReporter reporter;
  private final UnknownRunHandler unknownRuns;
  private final CrashAttributor crashes;
  private final SpeedLearner speeds;
  private final StallDetector stallDetector;
  private final EarlierOrderGuard earlierOrderGuard;

  WorkerMonitor(
      CellState state,
      RunEndHandler endHandler,
      PlacementReporter reporter,
      CrashAttributor crashes,
      SpeedLearner speeds,
      EarlierOrderGuard earlierOrderGuard) {
    this.state = state;
    this.endHandler = endHandler;
    this.reporter = reporter;
    this.crashes = crashes;
    this.speeds = speeds;
    this.stallDetector = new StallDetector(state, endHandler);
    this.earlierOrderGuard = earlierOrderGuard;
    this.unknownRuns = new UnknownRunHandler(state, reporter);
  }

  /** Updates the workers from the list of the platform. */
  void updateListings(List<ListedWorker> listings, ClockReading now) {
    Set<String> present = new HashSet<>();
    for (ListedWorker listing : listings) {
      Worker worker = state.workerOrNew(listing.id(), listing.incarnation());
      present.add(listing.id());
      if (worker.incarnations().isLater(listing.incarnation())) {
        incarnationChanged(worker, listing.incarnation(), now);
      } else if (listing.incarnation() != worker.incarnation()) {
        long nowMillis = now.monotonicMillis();
        if (worker.incarnations().lowerListed(listing, state.events().next(), nowMillis)) {
          state.requestImmediateReport(worker);
        }
        continue;
      }
      updateListing(worker, listing, now);
    }
    for (Worker worker : state.workers().values()) {
      if (!present.contains(worker.id())) {
        worker.unlist();
      }
    }
    state.workers().values().forEach(state::markChanged);
  }

  private void updateListing(Worker worker, ListedWorker listing, ClockReading now) {
    if (worker.listing() != null && !worker.listing().address().equals(listing.address())) {
      worker.incarnations().addressChanged(state.events().next());
    }
    worker.updateListing(listing, now.monotonicMillis());
  }

  /** Returns the worker of a stored placement; it may no longer be listed. */
  Worker workerOfPlacement(String id, long incarnation) {
    Worker worker = state.workerOrNew(id, incarnation);
    worker.incarnations().restore(incarnation);
    return worker;
  }

  private void incarnationChanged(Worker worker, long incarnation, ClockReading now) {
    List<Placement> placements = new ArrayList<>(worker.placements().values());
    List<Placement> lost =
        ordered(placements).stream()
            .filter(placement -> placement.incarnation() != incarnation)
            .toList();
    crashes.workerLost(worker, lost, CrashAttributor.Evidence.RESTARTED, now);
    long previousIncarnation = worker.incarnation();
    EndAcknowledgements previousEnds = worker.ends();
    worker.beginIncarnation(incarnation, state.events().next());
    state.recordEarlierLease(worker);
    worker
        .earlierOrders()
        .beginIncarnation(now.monotonicMillis(), state.settings().lateOrderMillis());
    reporter.restarted(worker, previousIncarnation, placements.size(), previousEnds, now);
    for (Placement placement : placements) {
      if (placement.orderSent()) {
        // The new incarnation may have carried out the order, or may still do so. If its next
        // report does not list the run, it is stopped there before its task is placed again.
        endHandler.reportUnreportedEnd(placement, now);
        worker.earlierOrders().remove(placement.task().name(), placement.run());
        // A late order takes its lease from its arrival, as its deadline is on the earlier clock.
        worker.recordLeaseExpiry(
            placement.orderedAtMillis() + state.settings().latestLateLeaseMillis());
        placement.forgetStops();
        placement.incarnation(incarnation);
        placement.markUncertain(state.events().next(), now.monotonicMillis());
        if (placement.stopRequested()) {
          state.sendStop(placement, now.monotonicMillis());
        }
      }
    }
    state.requestImmediateReport(worker);
  }

  /**
   * Handles the answer of a worker to a renewal.
   *
   * @param requestNumber number of the last event before the renewal was sent
   */
  void report(WorkerReport report, long requestNumber, ClockReading now) {
    Worker worker = state.workers().get(report.workerId());
    if (worker == null) {
      return;
    }
    worker.renewalFinished();
    if (worker.incarnations().isLater(report.incarnation())) {
      incarnationChanged(worker, report.incarnation(), now);
    } else if (report.incarnation() != worker.incarnation()) {
      Optional<ListedWorker> listing =
          worker.incarnations().confirmedListing(report.incarnation(), requestNumber);
      if (listing.isEmpty()) {
        applyCompletedRuns(report, now);
        return;
      }
      incarnationChanged(worker, report.incarnation(), now);
      updateListing(worker, listing.get(), now);
    }
    boolean prompt = worker.answeredWithin(now.monotonicMillis(), promptMillis());
    worker.answered(now.monotonicMillis());
    worker.incarnations().answered(requestNumber);
    worker.startSurvival().signOfLife(report.sentAtMillis());
    worker.clock().update(report.clockMillis(), now.monotonicMillis());
    worker.nextRenewalAtMillis(now.monotonicMillis());
    state.checkRenewal(worker);
    worker.ends().listed(report.ended());
    applyEnds(worker, report, prompt, now);
    applyRunning(worker, report, requestNumber, now);
    crashes.answered(worker);
    state.markChanged(worker);
  }

  /** Applies the runs that a late report of another incarnation shows as completed. */
  private void applyCompletedRuns(WorkerReport report, ClockReading now) {
    for (ReportedEnd end : report.ended()) {
      if (end.kind() == EndKind.DONE) {
        state
            .task(end.task())
            .ifPresent(task -> endHandler.completedByEarlierRun(task, end.run(), now));
      }
    }
  }

  private static List<Placement> ordered(Collection<Placement> placements) {
    return placements.stream().filter(Placement::orderSent).toList();
  }

  /** Returns the time between the answers of a worker that reports ends without delay. */
  private long promptMillis() {
    return state.settings().renewalWaitMillis() + state.settings().answerMillis();
  }

  private void applyEnds(Worker worker, WorkerReport report, boolean prompt, ClockReading now) {
    for (ReportedEnd end : report.ended()) {
      if (end.number() <= worker.ends().processedEnd()) {
        continue;
      }
      state.currentInput().concerns(end.task(), end.run());
      worker.ends().processed(end.number());
      state.workersWithUnstoredEnds().add(worker);
      Placement placement = worker.placements().get(end.task());
      if (placement != null && placement.run() == end.run()) {
        endHandler.runEnded(placement, end.kind(), end.checkpoint(), now);
        if (end.kind() == EndKind.DONE) {
          speeds.runCompleted(placement, prompt, now);
        }
      } else if (end.kind() == EndKind.DONE) {
        state
            .task(end.task())
            .ifPresent(task -> endHandler.completedByEarlierRun(task, end.run(), now));
      }
    }
    state.currentInput().concernsNoRun();
  }

  private void applyRunning(
      Worker worker, WorkerReport report, long requestNumber, ClockReading now) {
    Set<Placement> reported = new HashSet<>();
    List<ReportedRun> unplaced = new ArrayList<>();
    for (ReportedRun row : report.running()) {
      state.currentInput().concerns(row.task(), row.run());
      Placement placement = worker.placements().get(row.task());
      if (placement == null || placement.run() != row.run()) {
        unplaced.add(row);
        continue;
      }
      reported.add(placement);
      placement.markConfirmed(state.events().next(), now.monotonicMillis());
      state.pendingJobs().markBegun(placement.task().step().job());
      placement.progress(row.progressPercent(), row.checkpoint(), now.monotonicMillis());
      if (ElapsedTime.isOlderThan(
          placement.stopConfirmedAtMillis(),
          report.sentAtMillis(),
          state.settings().bounds().stopCompletionMillis())) {
        placement.clearStopConfirmation();
      }
      speeds.runReported(placement, now);
      stallDetector.stopIfStalled(placement, now);
      endHandler.checkProbe(placement, now);
    }
    state.currentInput().concernsNoRun();
    unknownRuns.handle(worker, unplaced, report, requestNumber, now);
    if (!report.complete()) {
      return;
    }
    for (Placement placement : List.copyOf(worker.placements().values())) {
      if (!reported.contains(placement)) {
        handleMissingRun(placement, requestNumber, now);
      }
    }
  }

  /** Handles a run that a complete report lists neither as running nor as ended. */
  private void handleMissingRun(Placement placement, long requestNumber, ClockReading now) {
    switch (placement.stage()) {
      case RUNNING -> {
        if (placement.confirmedBefore(requestNumber)) {
          endHandler.runLost(placement, ReleaseReason.NOT_REPORTED, now);
        }
      }
      case UNCERTAIN -> {
        if (placement.stopConfirmedBefore(requestNumber)) {
          endHandler.runLost(placement, ReleaseReason.STOPPED, now);
        } else if (placement.uncertainBefore(requestNumber) && !placement.stopSent()) {
          state.stop(placement, StopReason.UNCERTAIN, now.monotonicMillis());
        }
      }
      case STARTING -> {
        // The answer to the start order decides.
      }
      default -> throw new IllegalStateException("unknown stage " + placement.stage());
    }
  }

  /**
   * Handles a failed renewal; {@code gone} means that another worker has the address.
   *
   * @param requestNumber number of the last event before the renewal was sent
   */
  void renewalFailed(Action.Renew renewal, boolean gone, long requestNumber, ClockReading now) {
    Worker worker = state.workers().get(renewal.workerId());
    if (worker == null) {
      return;
    }
    if (worker.brokeOffRenewal(renewal.waitMillis(), now.monotonicMillis())) {
      worker.startSurvival().brokeOff(now.monotonicMillis());
    }
    if (worker.closedRenewal(renewal.waitMillis(), now.monotonicMillis())) {
      worker.startSurvival().disconnected(now.monotonicMillis());
    }
    worker.renewalFinished();
    worker.renewalFailed();
    earlierOrderGuard.renewalFailed(worker, gone);
    state.checkRenewal(worker);
    state.markChanged(worker);
    worker.nextRenewalAtMillis(
        worker.failedRenewals() > 1
            ? now.monotonicMillis() + UNREACHABLE_RETRY_MILLIS
            : now.monotonicMillis());
    boolean current =
        worker.incarnation() == renewal.incarnation()
            && worker.listing() != null
            && worker.listing().address().equals(renewal.address())
            && worker.incarnations().addressKnownBefore(requestNumber);
    // The answer of an earlier address says nothing of the runs at the current one, nor of what was
    // ordered or confirmed since the request.
    if (gone && current) {
      unknownRuns.forget(worker, requestNumber);
      releaseLost(
          worker,
          worker.placements().values().stream()
              .filter(placement -> placement.precedes(requestNumber))
              .toList(),
          CrashAttributor.Evidence.REPLACED,
          ReleaseReason.REPLACED,
          now);
    }
  }

  /** Expires leases, checks unanswered starts, schedules renewals and repeats unanswered stops. */
  void tick(ClockReading now) {
    List<Worker> removed = new ArrayList<>();
    for (Worker worker : state.workers().values()) {
      expireLeases(worker, now);
      endHandler.expireFailures(worker, now);
      checkUnansweredStarts(worker, now);
      checkIsolatedStarts(worker, now.monotonicMillis());
      earlierOrderGuard.stopEarlierOrders(worker, now.monotonicMillis());
      state.checkRenewal(worker);
      boolean vacant = worker.placements().isEmpty() && worker.unplacedRuns().isEmpty();
      boolean idle = vacant && !worker.renewalInFlight();
      if (!worker.listed()
          && idle
          && !earlierOrderGuard.mayExecuteOrders(worker, now.monotonicMillis())) {
        removed.add(worker);
      }
    }
    removed.forEach(state::removeWorker);
    List.copyOf(state.stopping()).forEach(placement -> repeatStop(placement, now));
  }

  /**
   * Requests a report on starts that the worker has not answered. A later answer is not needed; a
   * run that is not reported is stopped before its task is placed again.
   */
  private void checkUnansweredStarts(Worker worker, ClockReading now) {
    for (Placement placement : List.copyOf(worker.unconfirmed())) {
      if (placement.startUnansweredFor(now.monotonicMillis(), START_CHECK_MILLIS)) {
        placement.markUncertain(state.events().next(), now.monotonicMillis());
        earlierOrderGuard.doubtIncarnation(worker);
      }
    }
  }

  /** Requests a report as soon as it can show that the worker has survived an isolated start. */
  private void checkIsolatedStarts(Worker worker, long nowMillis) {
    for (Placement placement : worker.startSurvival().isolated()) {
      if (placement.takeSurvivalCheck(nowMillis)) {
        state.requestImmediateReport(worker);
      }
    }
  }

  private void expireLeases(Worker worker, ClockReading now) {
    long nowMillis = now.monotonicMillis();
    boolean unresponsive = !worker.answeredWithin(nowMillis, state.settings().unreachableMillis());
    if (!unresponsive || !worker.leasesExpired(nowMillis, LEASE_MARGIN_MILLIS)) {
      return;
    }
    unknownRuns.forget(worker, state.events().last());
    List<Placement> expired =
        worker.placements().values().stream()
            .filter(placement -> placement.orderSent() && !mayStartLate(placement, nowMillis))
            .toList();
    releaseLost(
        worker, expired, CrashAttributor.Evidence.LEASE_EXPIRED, ReleaseReason.LEASE_EXPIRED, now);
  }

  private boolean mayStartLate(Placement placement, long nowMillis) {
    return placement.stage() != Placement.Stage.RUNNING
        && nowMillis - placement.orderedAtMillis() < state.settings().lateOrderMillis();
  }

  /** Releases the runs that are lost with their worker. */
  private void releaseLost(
      Worker worker,
      List<Placement> lost,
      CrashAttributor.Evidence evidence,
      ReleaseReason reason,
      ClockReading now) {
    if (!lost.isEmpty()) {
      crashes.workerLost(worker, lost, evidence, now);
      lost.forEach(placement -> endHandler.runLost(placement, reason, now));
    }
  }

  private void repeatStop(Placement placement, ClockReading now) {
    long nowMillis = now.monotonicMillis();
    boolean due =
        !placement.stopConfirmed() && !placement.stopSentWithin(nowMillis, STOP_RETRY_MILLIS);
    if (placement.orderSent() && due) {
      if (placement.stopSent() && !placement.worker().incarnations().inDoubt()) {
        earlierOrderGuard.doubtIncarnation(placement.worker());
      }
      state.sendStop(placement, nowMillis);
    }
  }
}
