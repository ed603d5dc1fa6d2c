package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Follows workers by the platform's list and by their reports, and decides which runs are over. */
final class WorkerMonitor {

  /**
   * Time after which the worker is asked about a start that it has not answered, in milliseconds.
   * Most answers take 5 ms, and urgent tasks of 0.6 s can spare 0.5 s.
   */
  private static final long START_DOUBT_MILLIS = 100;

  /** Time after which an unanswered stop is sent again, in milliseconds. */
  private static final long STOP_AGAIN_MILLIS = 350;

  /** Time after the confirmation of a stop in which the run ends; the platform states 400 ms. */
  private static final long STOP_EFFECTIVE_MILLIS = 1_000;

  /** Time for which a renewal waits until reported ends are stored, in milliseconds. */
  private static final long RECORDING_MILLIS = 500;

  /** Time between attempts to reach a worker that does not answer, in milliseconds. */
  private static final long UNREACHABLE_RETRY_MILLIS = 300;

  /** Slack on the end of leases for scheduling delays, in milliseconds. */
  private static final long LEASE_SLACK_MILLIS = 150;

  private final CellState state;
  private final RunEndHandler ends;

  WorkerMonitor(CellState state, RunEndHandler ends) {
    this.state = state;
    this.ends = ends;
  }

  /** Takes the platform's list of workers. */
  void listed(List<ListedWorker> listings, ClockReading now) {
    Set<String> present = new HashSet<>();
    for (ListedWorker listing : listings) {
      Worker worker =
          state
              .workers()
              .computeIfAbsent(listing.id(), id -> new Worker(id, listing.incarnation()));
      present.add(listing.id());
      if (listing.incarnation() < worker.incarnation()) {
        continue;
      }
      if (listing.incarnation() > worker.incarnation()) {
        reincarnated(worker, listing.incarnation(), now);
      }
      worker.list(listing, now.monotonicMillis());
    }
    for (Worker worker : state.workers().values()) {
      if (!present.contains(worker.id())) {
        worker.unlist();
      }
    }
    state.workers().values().forEach(state::touch);
  }

  /** Returns the worker that a stored placement names, which may not be listed any more. */
  Worker recovered(String id, long incarnation, long nowMillis) {
    Worker worker = state.workers().computeIfAbsent(id, key -> new Worker(key, incarnation));
    worker.leaseOverAt(nowMillis + state.settings().earlierLeasesMillis());
    return worker;
  }

  private void reincarnated(Worker worker, long incarnation, ClockReading now) {
    List<Placement> placements = new ArrayList<>(worker.placements().values());
    worker.reincarnate(incarnation);
    for (Placement placement : placements) {
      if (placement.stage() == Placement.Stage.RUNNING) {
        ends.lost(placement, now);
      } else if (placement.orderSent()) {
        // The order may still be carried out by the new incarnation, so it is stopped there first.
        placement.uncertain(now.monotonicMillis());
        state.stop(placement, StopReason.UNCERTAIN, now.monotonicMillis());
      }
    }
  }

  /** Takes a worker's answer to a renewal. */
  void report(WorkerReport report, ClockReading now) {
    Worker worker = state.workers().get(report.workerId());
    if (worker == null) {
      return;
    }
    worker.renewalOver();
    if (report.incarnation() < worker.incarnation()) {
      return;
    }
    if (report.incarnation() > worker.incarnation()) {
      reincarnated(worker, report.incarnation(), now);
    }
    worker.answered(now.monotonicMillis());
    worker.clock(report.clockMillis(), now.monotonicMillis());
    worker.nextRenewalAtMillis(now.monotonicMillis());
    state.checkRenewal(worker);
    applyEnds(worker, report, now);
    applyRunning(worker, report, now);
    state.touch(worker);
  }

  private void applyEnds(Worker worker, WorkerReport report, ClockReading now) {
    for (ReportedEnd end : report.ended()) {
      if (end.number() <= worker.processedEnd()) {
        continue;
      }
      worker.processedEnd(end.number());
      state.unrecorded().add(worker);
      Placement placement = worker.placements().get(end.task());
      if (placement != null && placement.run() == end.run()) {
        ends.ended(placement, end.kind(), end.checkpoint(), now);
      } else if (end.kind() == EndKind.DONE) {
        state.task(end.task()).ifPresent(task -> ends.doneBefore(task, end.run(), now));
      }
    }
  }

  private void applyRunning(Worker worker, WorkerReport report, ClockReading now) {
    Map<String, ReportedRun> rows = new HashMap<>();
    for (ReportedRun row : report.running()) {
      rows.put(row.task(), row);
      Placement placement = worker.placements().get(row.task());
      if (placement == null || placement.run() != row.run()) {
        stopUnknown(worker, row);
        continue;
      }
      placement.confirmed(now.monotonicMillis());
      placement.progress(row.progressPercent(), row.checkpoint(), now.monotonicMillis());
      if (placement.stopConfirmedBefore(report.sentAtMillis() - STOP_EFFECTIVE_MILLIS)) {
        placement.stopIneffective();
      }
      stopIfStalled(placement, now);
    }
    if (!report.complete()) {
      return;
    }
    for (Placement placement : List.copyOf(worker.placements().values())) {
      ReportedRun row = rows.get(placement.task().name());
      boolean present = row != null && row.run() == placement.run();
      if (!present) {
        absent(placement, report, now);
      }
    }
  }

  private void stopUnknown(Worker worker, ReportedRun row) {
    if (worker.listing() != null) {
      state
          .actions()
          .add(
              new Action.StopTask(
                  worker.id(),
                  worker.listing().address(),
                  row.task(),
                  row.run(),
                  StopReason.UNKNOWN_RUN));
    }
  }

  /** Decides on a run that a complete report neither shows as present nor as ended. */
  private void absent(Placement placement, WorkerReport report, ClockReading now) {
    switch (placement.stage()) {
      case RUNNING -> {
        if (placement.confirmedBefore(report.sentAtMillis())) {
          ends.lost(placement, now);
        }
      }
      case UNCERTAIN -> {
        if (placement.stopConfirmedBefore(report.sentAtMillis())) {
          ends.lost(placement, now);
        } else if (placement.uncertainBefore(report.sentAtMillis()) && !placement.stopSent()) {
          state.stop(placement, StopReason.UNCERTAIN, now.monotonicMillis());
        }
      }
      case STARTING -> {
        // The answer to the start decides.
      }
      default -> throw new IllegalStateException("unknown stage " + placement.stage());
    }
  }

  /** Takes the failure of a renewal; {@code gone} says that another instance has the address. */
  void renewalFailed(String workerId, boolean gone, ClockReading now) {
    Worker worker = state.workers().get(workerId);
    if (worker == null) {
      return;
    }
    worker.renewalOver();
    worker.renewalFailed();
    state.checkRenewal(worker);
    state.touch(worker);
    worker.nextRenewalAtMillis(
        worker.failedRenewals() > 1
            ? now.monotonicMillis() + UNREACHABLE_RETRY_MILLIS
            : now.monotonicMillis());
    if (gone) {
      for (Placement placement : List.copyOf(worker.placements().values())) {
        if (placement.orderSent()) {
          ends.lost(placement, now);
        }
      }
    }
  }

  /** Does what is due: renewals, stops that were not answered, runs whose lease is over. */
  void tick(ClockReading now) {
    List<Worker> forgotten = new ArrayList<>();
    for (Worker worker : state.workers().values()) {
      expire(worker, now);
      doubtOpenStarts(worker, now);
      state.checkRenewal(worker);
      if (!worker.listed() && worker.placements().isEmpty() && !worker.renewalInFlight()) {
        forgotten.add(worker);
      }
    }
    forgotten.forEach(worker -> state.workers().remove(worker.id()));
    List.copyOf(state.stopping()).forEach(placement -> repeatStop(placement, now));
  }

  /**
   * Has the worker tell about starts that it has not answered. An answer that comes later is not
   * needed; a run that is not there is stopped before its task is placed again.
   */
  private void doubtOpenStarts(Worker worker, ClockReading now) {
    for (Placement placement : List.copyOf(worker.unsettled())) {
      if (placement.startOpenFor(now.monotonicMillis(), START_DOUBT_MILLIS)) {
        placement.uncertain(now.monotonicMillis());
        state.look(worker);
      }
    }
  }

  private void expire(Worker worker, ClockReading now) {
    long nowMillis = now.monotonicMillis();
    boolean silent = !worker.answeredWithin(nowMillis, state.settings().unreachableMillis());
    if (!silent || !worker.leaseOver(nowMillis, LEASE_SLACK_MILLIS)) {
      return;
    }
    for (Placement placement : List.copyOf(worker.placements().values())) {
      boolean lateOrderPossible =
          placement.stage() != Placement.Stage.RUNNING
              && nowMillis - placement.orderedAtMillis() < state.settings().lateOrderMillis();
      if (placement.orderSent() && !lateOrderPossible) {
        ends.lost(placement, now);
      }
    }
  }

  private void repeatStop(Placement placement, ClockReading now) {
    long nowMillis = now.monotonicMillis();
    boolean due =
        !placement.stopConfirmed() && !placement.stopSentWithin(nowMillis, STOP_AGAIN_MILLIS);
    if (placement.orderSent() && due) {
      state.sendStop(placement, nowMillis);
    }
  }

  private void stopIfStalled(Placement placement, ClockReading now) {
    long nowMillis = now.monotonicMillis();
    if (!placement.stopWanted() && stalled(placement, nowMillis)) {
      placement.worker().failed(placement.task().step().job().id(), nowMillis);
      placement.task().failedOn().add(placement.worker().id());
      state.stop(placement, StopReason.STALLED, nowMillis);
    }
  }

  private boolean stalled(Placement placement, long nowMillis) {
    StepSpec spec = placement.task().step().spec();
    if (placement.stage() != Placement.Stage.RUNNING || spec.longRunning() || spec.fills()) {
      return false;
    }
    long allowedMillis = Math.max(state.settings().stallMillis(), spec.estimateMillis() / 2);
    boolean lookedSince =
        placement.worker().answeredAfter(placement.progressAtMillis() + allowedMillis);
    return lookedSince && nowMillis - placement.progressAtMillis() > allowedMillis;
  }

  /** Returns the renewals of the given workers that are due. */
  List<Action.Renew> dueRenewals(List<Worker> workers, ClockReading now) {
    List<Action.Renew> due = new ArrayList<>();
    for (Worker worker : workers) {
      boolean wanted = worker.listed() || !worker.placements().isEmpty();
      if (wanted && worker.listing() != null && renewalDue(worker, now.monotonicMillis())) {
        due.add(renewal(worker, now.monotonicMillis()));
      }
    }
    return due;
  }

  private boolean renewalDue(Worker worker, long nowMillis) {
    if (worker.lookWanted()) {
      return true;
    }
    if (worker.renewalInFlight() || worker.renewalAhead(nowMillis)) {
      return false;
    }
    boolean unrecorded = worker.recordedEnd() < worker.processedEnd();
    // Ends that are not stored yet would be reported again at once.
    return !unrecorded || worker.renewalOverdue(nowMillis, RECORDING_MILLIS);
  }

  private Action.Renew renewal(Worker worker, long nowMillis) {
    CoordinatorSettings settings = state.settings();
    boolean sure = worker.clockKnown() && worker.failedRenewals() == 0;
    boolean unrecorded = worker.recordedEnd() < worker.processedEnd();
    boolean patient = sure && !unrecorded && !worker.lookWanted();
    long waitMillis = patient ? settings.renewalWaitMillis() : 0;
    long deadlineMillis = 0;
    long leaseMillis = state.grantableLeaseMillis(nowMillis);
    if (sure && leaseMillis > 0) {
      // A worker that does not answer gets no longer lease, so that its end becomes certain.
      deadlineMillis = worker.clockAt(nowMillis) + leaseMillis;
      worker.deadlineSent(deadlineMillis, settings.maxClockSlowdown());
    }
    worker.renewalSent(nowMillis + waitMillis);
    return new Action.Renew(
        worker.id(),
        worker.incarnation(),
        worker.listing().address(),
        worker.recordedEnd(),
        deadlineMillis,
        waitMillis,
        waitMillis + settings.answerMillis());
  }
}
