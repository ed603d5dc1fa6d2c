package org.cicadaford.cell;

/** Sends the start orders of stored placements. */
final class StartIssuer {

  private final CellState state;
  private final RunEndHandler endHandler;

  StartIssuer(CellState state, RunEndHandler endHandler) {
    this.state = state;
    this.endHandler = endHandler;
  }

  /** Sends the start order of a placement, or drops it if its preconditions no longer hold. */
  void issue(Placement placement, ClockReading now) {
    Task task = placement.task();
    Worker worker = placement.worker();
    StepRun step = task.step();
    if (task.placement() != placement) {
      return;
    }
    long nowMillis = now.monotonicMillis();
    String ticket = "";
    boolean permitted = true;
    if (state.queueOf(step.job()).advice().required()) {
      Ticket validTicket = step.ticketFor(worker, nowMillis);
      permitted = validTicket != null;
      ticket = validTicket == null ? "" : validTicket.value();
    }
    boolean sameIncarnation = worker.incarnation() == placement.incarnation();
    boolean zoneOpen =
        worker.listing() != null && !state.zonesOut().contains(worker.listing().zone());
    boolean schedulable = worker.listed() && !worker.listing().draining();
    // A report may have listed a run that is not placed, since the placement was decided.
    boolean unplacedRun = task.hasUnplacedRun() || !worker.unplacedRuns().isEmpty();
    boolean startable = permitted && !placement.stopRequested() && !unplacedRun;
    if (!startable || !sameIncarnation || !zoneOpen || !schedulable) {
      endHandler.runLost(placement, ReleaseReason.NOT_SENT, now);
      return;
    }
    long deadlineMillis = worker.clockAt(nowMillis) + state.settings().startValidMillis();
    worker.deadlineSent(deadlineMillis, state.settings().maxClockSlowdown());
    placement.orderSent(state.events().next(), nowMillis);
    worker
        .earlierOrders()
        .recordStart(task.name(), placement.run(), nowMillis, state.settings().lateOrderMillis());
    state
        .actions()
        .add(
            new Action.StartTask(
                worker.id(),
                worker.listing().address(),
                task.name(),
                placement.run(),
                step.job().spec().payload(),
                task.checkpoint(),
                ticket,
                deadlineMillis));
  }
}
