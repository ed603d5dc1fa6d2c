package org.cicadaford.cell;

/** Handles the answers of workers to orders that start and stop runs. */
final class OrderAnswerHandler {

  private final CellState state;
  private final RunEndHandler endHandler;
  private final PlacementReporter reporter;
  private final EarlierOrderGuard earlierOrderGuard;

  OrderAnswerHandler(
      CellState state,
      RunEndHandler endHandler,
      PlacementReporter reporter,
      EarlierOrderGuard earlierOrderGuard) {
    this.state = state;
    this.endHandler = endHandler;
    this.reporter = reporter;
    this.earlierOrderGuard = earlierOrderGuard;
  }

  void startAnswered(
      String workerId,
      String task,
      int run,
      StartOutcome outcome,
      long clockMillis,
      ClockReading now) {
    Worker ordered = state.workers().get(workerId);
    if (ordered != null && outcome != StartOutcome.UNKNOWN && outcome != StartOutcome.FENCED) {
      ordered.earlierOrders().startAnswered(task, run);
    }
    Placement placement = state.placement(workerId, task, run);
    if (placement == null || placement.stage() != Placement.Stage.STARTING) {
      return;
    }
    long nowMillis = now.monotonicMillis();
    Worker worker = placement.worker();
    boolean wentBack =
        worker
            .clock()
            .wentBack(
                clockMillis, placement.orderedAtMillis(), state.settings().maxClockSlowdown());
    if (wentBack) {
      reporter.restartDetected(worker, clockMillis, now);
      earlierOrderGuard.restartDetected(worker);
    } else if (outcome != StartOutcome.NO_ROOM && outcome != StartOutcome.STARTED) {
      // A next incarnation refuses the tickets of this one. A refused connection or a missing
      // answer may be due to a restart as well.
      earlierOrderGuard.doubtIncarnation(worker);
    }
    if (clockMillis > 0 && !wentBack) {
      worker.clock().update(clockMillis, nowMillis);
    }
    state.checkRenewal(worker);
    switch (outcome) {
      case STARTED -> {
        placement.markConfirmed(state.events().next(), nowMillis);
        state.pendingJobs().markBegun(placement.task().step().job());
        placement.worker().startSurvival().signOfLife(placement.orderedAtMillis());
        if (placement.stopRequested()) {
          state.sendStop(placement, nowMillis);
        }
      }
      case BAD_TICKET -> {
        placement.task().step().tickets().remove(workerId);
        state.waiting().forbid(placement.task().step(), workerId);
        endHandler.runLost(placement, ReleaseReason.REFUSED, now);
      }
      case NO_ROOM, NOT_STARTED -> {
        placement.worker().quarantine().startRefused(nowMillis);
        endHandler.runLost(placement, ReleaseReason.REFUSED, now);
      }
      case FENCED, UNKNOWN -> {
        // The order may have been carried out or still be in transit. If the next report does not
        // list the run, it is stopped before its task is placed again.
        placement.markUncertain(state.events().next(), nowMillis);
      }
      default -> throw new IllegalStateException("unknown outcome " + outcome);
    }
  }

  void stopConfirmed(String workerId, String task, int run, long requestNumber, ClockReading now) {
    Worker worker = state.workers().get(workerId);
    if (worker == null || !worker.incarnations().knownBefore(requestNumber)) {
      return;
    }
    worker.earlierOrders().remove(task, run);
    Placement placement = state.placement(workerId, task, run);
    if (placement != null) {
      placement.stopConfirmed(state.events().next(), now.monotonicMillis());
      if (placement.stage() == Placement.Stage.STARTING) {
        placement.markUncertain(state.events().next(), now.monotonicMillis());
      }
      if (placement.stage() == Placement.Stage.UNCERTAIN) {
        state.requestImmediateReport(placement.worker());
      }
    }
  }
}
