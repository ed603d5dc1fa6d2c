package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.cicadaford.model.Resources;

/** Tests the handling of workers that are unresponsive, have shut down, or send invalid reports. */
class WorkerMonitorTest {

  /** Time for which a worker does not answer; its lease of 6 s lasts longer. */
  private static final long SILENCE_MILLIS = 3_500;

  private static SimulatedCell cell(long seed, int workers) {
    return new SimulatedCell(
        seed, SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE), workers);
  }

  /**
   * Guards against restarting or giving up the runs of a worker that is unresponsive for a while.
   */
  @Property(tries = 20, seed = "4720")
  void runsOfAnUnresponsiveWorkerContinue(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    SimulatedCell cell = cell(seed, 3);
    String id = "silent" + seed;
    cell.submit(id, SimulatedJobs.step(6, 4_000, 6_000, false));
    cell.run(500);
    assertThat(cell.starts).isEqualTo(6);
    boolean takeover = cell.random.nextBoolean();
    cell.workers.values().forEach(worker -> worker.reachable = cell.random.nextBoolean());
    cell.run(SILENCE_MILLIS / 2);
    if (takeover) {
      cell.takeOver();
    }
    cell.run(SILENCE_MILLIS / 2);
    cell.workers.values().forEach(worker -> worker.reachable = true);
    cell.run(6_000);
    assertThat(cell.starts).isEqualTo(6);
    assertThat(cell.violations).isEmpty();
    assertThat(cell.coordinator.job(id).orElseThrow().phase()).isEqualTo(JobPhase.COMPLETED);
  }

  /** Guards against placing tasks on a removed worker after a takeover. */
  @Example
  void removedWorkerGetsNoOrdersAfterATakeover() {
    SimulatedCell cell = cell(31, 3);
    cell.submit("left1", SimulatedJobs.step(6, 4_000, 300, false));
    cell.run(2_000);
    cell.workers.get("w0").crash();
    cell.run(1_000);
    cell.takeOver();
    int before = cell.ordersTo("w0");
    cell.submit("left2", SimulatedJobs.step(8, 4_000, 300, false));
    cell.run(3_000);
    assertThat(cell.coordinator.job("left2").orElseThrow().phase()).isEqualTo(JobPhase.COMPLETED);
    assertThat(cell.ordersTo("w0")).isEqualTo(before);
  }

  /**
   * Guards against late renewals to the earlier life of a worker that was not listed for a while,
   * and against orders with a lower token to a worker that has received a higher one.
   */
  @Example
  void tokenOfAWorkerThatIsListedAgainIsNotLowered() {
    SimulatedCell cell = cell(1, 1);
    SimulatedWorker worker = cell.workers.get("w0");
    cell.run(1_000);
    worker.crash();
    cell.run(3_000);
    worker.restart(200);
    cell.run(1_000);
    assertThat(cell.coordinator.tokenOffset("w0")).isEqualTo(2);
    worker.listed = false;
    cell.run(20_000);
    assertThat(cell.coordinator.workerCount()).isZero();
    worker.listed = true;
    cell.run(1_000);
    assertThat(cell.coordinator.tokenOffset("w0")).isEqualTo(2);
  }

  /**
   * Guards against an exception in the coordinator because of a report with invalid names or
   * numbers.
   */
  @Property(tries = 200, seed = "4721")
  void invalidReportsDoNotStopTheCoordinator(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    SimulatedCell cell = cell(seed, 2);
    String id = "odd" + seed;
    cell.submit(id, SimulatedJobs.step(2, 4_000, 600, false));
    cell.run(200);
    Random random = new Random(seed);
    for (int round = 0; round < 5; round++) {
      cell.coordinator.reportReceived(
          invalidReport(id, random), cell.coordinator.lastEventNumber(), cell.moment());
      cell.run(20);
    }
    cell.run(1_500);
    assertThat(cell.coordinator.job(id).orElseThrow().phase()).isEqualTo(JobPhase.COMPLETED);
  }

  private static WorkerReport invalidReport(String jobId, Random random) {
    List<String> names =
        List.of(
            "", ".", "x", jobId, jobId + ".0.9.0", jobId + ".0.0.99", jobId + ".7.0.-1", "a.b.c.d");
    List<ReportedRun> rows = new ArrayList<>();
    List<ReportedEnd> ends = new ArrayList<>();
    for (int row = 0; row < 4; row++) {
      String name = names.get(random.nextInt(names.size()));
      rows.add(new ReportedRun(name, random.nextInt(), "", random.nextInt(), random.nextLong()));
      EndKind kind = EndKind.values()[random.nextInt(EndKind.values().length)];
      ends.add(new ReportedEnd(random.nextInt(2), name, random.nextInt(), kind, ""));
    }
    return new WorkerReport("w" + random.nextInt(4), 100, random.nextLong(), 0, rows, ends, false);
  }

  /** Guards against giving up a run that began between the sending and the answer of a report. */
  @Example
  void reportRequestedBeforeTheConfirmationOfARunDoesNotEndIt() {
    CoordinatorDriver driver = new CoordinatorDriver();
    driver.submit("first");
    Action.StartTask unanswered = driver.nextStart();
    driver.advance(80);
    driver.submit("second");
    Action.StartTask started = driver.nextStart();
    // The first start is unanswered for 0.1 s, so an immediate report is requested.
    CoordinatorDriver.SentRenewal request = driver.nextImmediateRenewal();
    driver.answerStart(started, StartOutcome.STARTED);
    driver.answer(request, List.of());
    assertThat(driver.starts(2_000)).noneMatch(start -> start.task().equals(started.task()));
    assertThat(unanswered.task()).isNotEqualTo(started.task());
  }

  /** Guards against a second run of a task, and an overload, next to a run that was given up. */
  @Example
  void reportedRunOfAWaitingTaskKeepsItsCapacityAndGoesOn() {
    CoordinatorDriver driver = new CoordinatorDriver();
    CoordinatorDriver.SentRenewal renewal = driver.nextRenewal();
    driver.submit("givenup", 9_000);
    Action.StartTask start = driver.nextStart();
    driver.answerStart(start, StartOutcome.NOT_STARTED);
    driver.answer(renewal, List.of(new ReportedRun(start.task(), start.run(), "", 10, 0)));
    driver.submit("other", 9_000);
    for (int round = 0; round < 3; round++) {
      renewal = driver.nextRenewal();
      driver.answer(renewal, List.of(new ReportedRun(start.task(), start.run(), "", 20, 0)));
    }
    assertThat(driver.starts(600)).isEmpty();
  }
}
