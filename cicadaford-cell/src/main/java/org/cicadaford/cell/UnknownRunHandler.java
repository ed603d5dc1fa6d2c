package org.cicadaford.cell;

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
   * Handles a row of a report whose request was sent at {@code sentAtMillis}; returns whether the
   * run has ended or is placed now, so that its capacity is accounted for.
   */
  boolean handle(Worker worker, ReportedRun row, long sentAtMillis, ClockReading now) {
    Task task = state.task(row.task()).orElse(null);
    if (task != null && task.endReported(row.run(), worker.id())) {
      // A newer report, with the end of the run, has overtaken this one.
      return true;
    }
    boolean adoptable =
        task != null
            && task.placement() == null
            && row.run() > 0
            && row.run() <= task.lastRun()
            && worker.listing() != null;
    reporter.unknownRun(
        worker, row, adoptable ? "adopted" : "stopped", now.monotonicMillis() - sentAtMillis, now);
    if (adoptable) {
      adopt(task, row, worker, now);
    } else if (worker.listing() != null) {
      state.sendStop(worker, row.task(), row.run(), StopReason.UNKNOWN_RUN);
    }
    return adoptable;
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
    state.markForStore(job);
    boolean needed = !task.done() && !job.phase().terminal() && row.run() == task.lastRun();
    if (!needed || task.step().spec().gang()) {
      state.stop(placement, StopReason.UNKNOWN_RUN, nowMillis);
    }
    // Its task waits until a later report tells whether the run is there.
    state.requestImmediateReport(worker);
  }
}
