package org.cicadaford.cell;

/** Orders the starts of placements that are stored. */
final class StartIssuer {

  private final CellState state;
  private final RunEndHandler ends;

  StartIssuer(CellState state, RunEndHandler ends) {
    this.state = state;
    this.ends = ends;
  }

  /** Orders the start, unless something has changed since the placement was decided. */
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
      Ticket held = step.ticketFor(worker, nowMillis);
      permitted = held != null;
      ticket = held == null ? "" : held.value();
    }
    boolean sameLife = worker.incarnation() == placement.incarnation();
    boolean open = worker.listing() != null && !state.zonesOut().contains(worker.listing().zone());
    boolean usable = worker.listed() && !worker.listing().draining();
    if (placement.stopWanted() || !permitted || !sameLife || !open || !usable) {
      ends.lost(placement, now);
      return;
    }
    long deadlineMillis = worker.clockAt(nowMillis) + state.settings().startValidMillis();
    worker.deadlineSent(deadlineMillis, state.settings().maxClockSlowdown());
    placement.orderSent(nowMillis);
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
