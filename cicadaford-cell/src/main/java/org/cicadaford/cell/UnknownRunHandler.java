package org.cicadaford.cell;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Handles runs that a worker reports and that are not placed there.
 *
 * <p>Such a run occupies the worker until it ends, and its task must not start elsewhere meanwhile.
 * It is therefore placed again as what it is, whatever led to its release.
 */
final class UnknownRunHandler {

  private final CellState state;
  private final PlacementReporter reporter;

  UnknownRunHandler(CellState state, PlacementReporter reporter) {
    this.state = state;
    this.reporter = reporter;
  }

  /**
   * Handles the rows of a report that are not placed.
   *
   * @param requestNumber number of the last event before the report was requested
   */
  void handle(
      Worker worker,
      List<ReportedRun> rows,
      WorkerReport report,
      long requestNumber,
      ClockReading now) {
    Set<UnplacedRuns.Run> listed = new HashSet<>();
    for (ReportedRun row : rows) {
      state.currentInput().concerns(row.task(), row.run());
      listed.add(new UnplacedRuns.Run(row.task(), row.run()));
      handle(worker, row, report.sentAtMillis(), now);
    }
    state.currentInput().concernsNoRun();
    if (report.complete()) {
      release(worker, listed, requestNumber);
    }
  }

  /** Forgets runs that are over for the reason that a worker is gone. */
  void forget(Worker worker, long requestNumber) {
    release(worker, Set.of(), requestNumber);
  }

  private void release(Worker worker, Set<UnplacedRuns.Run> listed, long requestNumber) {
    for (Task task : worker.unplacedRuns().removeMissing(listed, requestNumber)) {
      state.enqueueIfPlaceable(task.step());
    }
  }

  private void handle(Worker worker, ReportedRun row, long sentAtMillis, ClockReading now) {
    Task task = state.task(row.task()).orElse(null);
    if (task != null && task.endReported(row.run(), worker.id())) {
      // A newer report, with the end of the run, has overtaken this one.
      return;
    }
    boolean adoptable =
        task != null
            && task.placement() == null
            && row.run() > 0
            && row.run() <= task.lastRun()
            && worker.listing() != null;
    reporter.unknownRun(
        worker, row, adoptable ? "adopted" : "stopped", now.monotonicMillis() - sentAtMillis, now);
    UnplacedRuns.Run run = new UnplacedRuns.Run(row.task(), row.run());
    if (adoptable) {
      worker.unplacedRuns().remove(run);
      adopt(task, row, worker, now);
      return;
    }
    if (worker.unplacedRuns().reported(run, task, state.events().next())) {
      state.requestImmediateReport(worker);
    }
    if (worker.listing() != null) {
      state.sendStop(worker, row.task(), row.run(), StopReason.UNKNOWN_RUN);
    }
  }

  /** Places a run where it is; it goes on if its task still needs it. */
  private void adopt(Task task, ReportedRun row, Worker worker, ClockReading now) {
    long nowMillis = now.monotonicMillis();
    Placement placement = new Placement(task, row.run(), worker, worker.incarnation(), nowMillis);
    worker.earlierOrders().remove(row.task(), row.run());
    state.place(placement);
    state.waiting().remove(task.step());
    state.enqueueIfPlaceable(task.step());
    placement.orderSent(state.events().next(), nowMillis);
    placement.markConfirmed(state.events().next(), nowMillis);
    placement.progress(row.progressPercent(), row.checkpoint(), nowMillis);
    Job job = task.step().job();
    state.pendingJobs().markBegun(job);
    state.markForStore(job);
    boolean needed = !task.done() && !job.phase().terminal() && row.run() == task.lastRun();
    if (!needed || task.step().spec().gang()) {
      state.stop(placement, StopReason.UNKNOWN_RUN, nowMillis);
    }
    // Its task waits until a later report tells whether the run is there.
    state.requestImmediateReport(worker);
  }
}
