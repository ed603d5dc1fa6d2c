package org.cicadaford.cell;

import java.util.OptionalLong;

/**
 * Reports decisions on runs whose end the worker has not reported, with the evidence for them.
 *
 * <p>From these reports it can be told afterwards why a task was placed again, and whether a run
 * that the coordinator does not know was released before.
 */
final class PlacementReporter {

  private static final String RELEASE = "release";
  private static final String UNKNOWN_RUN = "unknown-run";
  private static final String RESTART = "worker-restart";
  private static final String LOST = "worker-lost";
  private static final String CRASH = "crash";
  private static final String FAILING = "worker-failing";

  private final CellState state;

  PlacementReporter(CellState state) {
    this.state = state;
  }

  /** Reports the release of a placement; the caller releases it afterwards. */
  void released(Placement placement, ReleaseReason reason, ClockReading now) {
    long nowMillis = now.monotonicMillis();
    Worker worker = placement.worker();
    placement
        .task()
        .lastRelease(new Release(placement.run(), worker.id(), reason.name(), false, nowMillis));
    report(
        RELEASE,
        placement.task().name(),
        reason.name(),
        "run="
            + placement.run()
            + " worker="
            + worker.id()
            + " incarnation="
            + placement.incarnation()
            + " current_incarnation="
            + worker.incarnation()
            + " stage="
            + placement.stage()
            + " order_age_ms="
            + (placement.orderSent() ? nowMillis - placement.orderedAtMillis() : -1)
            + " confirmed_age_ms="
            + age(placement.confirmedAtMillis(), nowMillis)
            + " stop_confirmed_age_ms="
            + age(placement.stopConfirmedAtMillis(), nowMillis)
            + " answer_age_ms="
            + age(worker.lastAnswerAtMillis(), nowMillis)
            + " lease_end_age_ms="
            + age(worker.leaseExpiryMillis(), nowMillis));
  }

  /** Reports that a worker gets one task at a time after failures of several jobs. */
  void suspected(Worker worker) {
    report(
        FAILING,
        worker.id(),
        "suspected",
        "failed_jobs="
            + worker.quarantine().failuresInARow()
            + " placements="
            + worker.placements().size());
  }

  /** Reports that a worker is no longer suspected to fail what it starts. */
  void trusted(Worker worker, String cause) {
    report(FAILING, worker.id(), "cleared", "why=" + cause);
  }

  /** Reports a run that a worker lists as running and that is not placed there. */
  void unknownRun(
      Worker worker, ReportedRun row, String outcome, long reportAgeMillis, ClockReading now) {
    Task task = state.task(row.task()).orElse(null);
    Placement placement = task == null ? null : task.placement();
    Release release = task == null ? null : task.lastRelease();
    report(
        UNKNOWN_RUN,
        row.task(),
        outcome,
        "run="
            + row.run()
            + " worker="
            + worker.id()
            + " incarnation="
            + worker.incarnation()
            + " report_age_ms="
            + reportAgeMillis
            + " placed="
            + (placement == null ? "-" : placement.run() + "@" + placement.worker().id())
            + " last_run="
            + (task == null ? "-" : task.lastRun())
            + " released="
            + (release == null ? "-" : release.describe(now.monotonicMillis())));
  }

  /** Reports that a worker has started a new incarnation under its id. */
  void restarted(
      Worker worker,
      long previousIncarnation,
      int placementCount,
      EndAcknowledgements previousEnds,
      ClockReading now) {
    report(
        RESTART,
        worker.id(),
        "new-incarnation",
        "incarnation="
            + worker.incarnation()
            + " previous="
            + previousIncarnation
            + " placements="
            + placementCount
            + " acknowledged="
            + previousEnds.lastSentEnd()
            + " acknowledged_age_ms="
            + previousEnds.lastSentAgeMillis(now.monotonicMillis()));
  }

  /** Reports that the answer of a worker shows a restart whose incarnation is not known yet. */
  void restartDetected(Worker worker, long clockMillis, ClockReading now) {
    report(
        RESTART,
        worker.id(),
        "lower-clock",
        "incarnation="
            + worker.incarnation()
            + " clock_ms="
            + clockMillis
            + " expected_ms="
            + worker.clock().at(now.monotonicMillis()));
  }

  /** Reports that a worker was lost, and how many of its runs may have crashed it. */
  void lost(Worker worker, String evidence, int runCount, int suspectCount, int lossCount) {
    report(
        LOST,
        worker.id(),
        evidence,
        "incarnation="
            + worker.incarnation()
            + " runs="
            + runCount
            + " suspects="
            + suspectCount
            + " losses_at_once="
            + lossCount);
  }

  /** Reports that a task is suspected to crash workers, cleared of that, or given up for it. */
  void crash(Placement placement, String outcome) {
    report(
        CRASH,
        placement.task().name(),
        outcome,
        "run="
            + placement.run()
            + " worker="
            + placement.worker().id()
            + " crashes="
            + placement.task().crashCount()
            + " start_losses="
            + placement.task().startLossCount());
  }

  private void report(String category, String id, String outcome, String inputs) {
    state.actions().add(new Action.ReportDecision(category, id, outcome, inputs));
  }

  private static long age(OptionalLong atMillis, long nowMillis) {
    return atMillis.isPresent() ? nowMillis - atMillis.getAsLong() : -1;
  }

  /**
   * The last release of a placement of a task.
   *
   * @param how how the run ended, or why the placement was released without an end
   * @param endReported whether the worker reported the end of the run
   */
  record Release(int run, String workerId, String how, boolean endReported, long atMillis) {

    private String describe(long nowMillis) {
      return how + ":" + run + "@" + workerId + " release_age_ms=" + (nowMillis - atMillis);
    }
  }
}
