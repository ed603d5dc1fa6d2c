package org.cicadaford.cell;

/**
 * Stops runs that make no progress.
 *
 * <p>A run on a worker that is known to be slower makes progress at longer intervals, so it is
 * given more time by the learnt factor, which is at most 8, and 1 where learnt speeds are not in
 * effect. The factor is forgotten within seconds of the last run that made progress slowly, so a
 * run that stands still is still detected.
 */
final class StallDetector {

  private final CellState state;
  private final RunEndHandler endHandler;

  StallDetector(CellState state, RunEndHandler endHandler) {
    this.state = state;
    this.endHandler = endHandler;
  }

  /** Stops a reported run that has made no progress for too long. */
  void stopIfStalled(Placement placement, ClockReading now) {
    long nowMillis = now.monotonicMillis();
    if (!placement.stopRequested() && stalled(placement, nowMillis)) {
      endHandler.countFailure(placement, now);
      placement.task().recordFailureOn(placement.worker().id());
      state.stop(placement, StopReason.STALLED, nowMillis);
    }
  }

  private boolean stalled(Placement placement, long nowMillis) {
    StepSpec spec = placement.task().step().spec();
    if (placement.stage() != Placement.Stage.RUNNING || spec.longRunning() || spec.fills()) {
      return false;
    }
    Worker worker = placement.worker();
    long allowedMillis =
        (long)
            (worker.speed().factor()
                * Math.max(state.settings().stallMillis(), spec.estimateMillis() / 2));
    boolean reportedSince = worker.answeredAfter(placement.progressAtMillis() + allowedMillis);
    return reportedSince && nowMillis - placement.progressAtMillis() > allowedMillis;
  }
}
