package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;
import org.cicadaford.cell.learning.StepComparison;
import org.cicadaford.cell.learning.TimedRuns;
import org.cicadaford.cell.learning.WorkerSpeed;
import org.cicadaford.model.Resources;

/** Tests when a run without progress is stopped, on workers of normal and of low speed. */
class StallDetectorTest {

  private static final long STALL_MILLIS = 2_500;

  private final CellState state = new CellState(CoordinatorSettings.forPlatform(6_000, 60_000));
  private final StallDetector detector =
      new StallDetector(state, new RunEndHandler(state, new PlacementReporter(state)));
  private final Worker worker = new Worker("w0", 1);
  private final Placement placement;

  StallDetectorTest() {
    worker.updateListing(
        new ListedWorker(
            "w0",
            1,
            "svc",
            "w0:1",
            "zone",
            false,
            0,
            new Resources(16_000, 32_000, 0),
            Set.of(),
            "rack"),
        0);
    Queue queue = SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE).queue("q").orElseThrow();
    StepSpec step = SimulatedJobs.step(1, 1_000, 3_000, false);
    JobSpec spec = new JobSpec("payload", List.of(step), 0, 0, 0);
    Job job = new Job(new JobDefinition("stall", queue, "team", "zone", 0, false, spec));
    Task task = job.beginOccurrence(0).iterator().next().tasks().getFirst();
    placement = new Placement(task, 1, worker, 1, 1_000);
    placement.orderSent(1, 1_000);
    placement.markConfirmed(2, 1_000);
    placement.progress(10, "", 1_000);
  }

  /** Returns whether the run is stopped at a time, with its last progress at 1,000 ms. */
  private boolean stoppedAt(long nowMillis) {
    worker.answered(nowMillis);
    worker.speed().update(0, nowMillis);
    detector.stopIfStalled(placement, new ClockReading(nowMillis, nowMillis));
    return placement.stopRequested();
  }

  /** Guards against stalled runs that go on on workers of normal speed. */
  @Example
  void aRunThatStandsStillIsStopped() {
    assertThat(stoppedAt(1_000 + STALL_MILLIS)).isFalse();
    assertThat(stoppedAt(1_000 + STALL_MILLIS + 1)).isTrue();
  }

  /**
   * Guards against runs that are stopped on a slow worker, where progress takes longer, and against
   * stalled runs there that go on once the worker is no longer known to be slow.
   */
  @Example
  void aRunOnASlowWorkerHasMoreTimeWhileTheWorkerIsKnownToBeSlow() {
    observeSlowRuns();
    assertThat(stoppedAt(1_000 + STALL_MILLIS + 1)).isFalse();
    assertThat(stoppedAt(6_000)).isFalse();
    assertThat(stoppedAt(6_001)).isTrue();
  }

  /** Guards against stalled runs that go on for longer where learnt speeds are not in effect. */
  @Example
  void aRunOnASlowWorkerOfASmallCellHasTheUsualTime() {
    observeSlowRuns();
    worker.speed().update(0, 1_000 + STALL_MILLIS);
    assertThat(worker.speed().factor()).isGreaterThan(2);
    worker.speed().ignore();
    worker.answered(1_000 + STALL_MILLIS + 1);
    detector.stopIfStalled(placement, new ClockReading(3_501, 3_501));
    assertThat(placement.stopRequested()).isTrue();
  }

  private void observeSlowRuns() {
    StepComparison comparison = new StepComparison();
    TimedRuns completed = new TimedRuns();
    completed.add(new StepComparison.Run(new WorkerSpeed(), "other0", 500));
    completed.add(new StepComparison.Run(new WorkerSpeed(), "other1", 500));
    for (int run = 0; run < 2; run++) {
      StepComparison.Run slow = new StepComparison.Run(worker.speed(), "run" + run, 3_000);
      comparison.compareRunning(slow, completed, 3, 2_000 + run * 1_000);
    }
  }
}
