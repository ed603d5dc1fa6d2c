package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.cicadaford.model.Resources;

/** Tests workers whose incarnation is lower than before, as their clock was set back. */
class WorkerIncarnationTest {

  private static SimulatedCell cell(int workers) {
    return new SimulatedCell(1, SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE), workers);
  }

  private static void assertCompleted(SimulatedCell cell, String... jobIds) {
    assertThat(cell.violations).isEmpty();
    for (String jobId : jobIds) {
      assertThat(cell.coordinator.job(jobId).orElseThrow().phase())
          .as(jobId)
          .isEqualTo(JobPhase.COMPLETED);
    }
  }

  /** Guards against a worker that gets no work after a crash and a clock that was set back. */
  @Example
  void workerWithAnEarlierClockRunsTasksAgain() {
    SimulatedCell cell = cell(1);
    cell.submit("interrupted", SimulatedJobs.step(1, 9_000, 1_500, false));
    cell.run(1_000);
    cell.workers.get("w0").crash();
    cell.workers.get("w0").restart(50);
    cell.submit("afterwards", SimulatedJobs.step(1, 9_000, 500, false));
    cell.run(5_000);
    assertCompleted(cell, "interrupted", "afterwards");
    // The token rises once with the lost contact and once with the incarnation.
    assertThat(cell.coordinator.tokenOffset("w0")).isEqualTo(2);
  }

  /** Guards against a worker that is not asked for reports at its new address. */
  @Example
  void workerWithAnEarlierClockAtAnotherAddressRunsTasksAgain() {
    SimulatedCell cell = cell(1);
    cell.submit("movedback", SimulatedJobs.step(1, 9_000, 1_500, false));
    cell.run(1_000);
    SimulatedWorker worker = cell.workers.get("w0");
    worker.crash();
    worker.address = "w0:2";
    worker.restart(50);
    cell.run(12_000);
    assertCompleted(cell, "movedback");
  }

  /** Guards against placements that stay on a worker which a new coordinator knows by a record. */
  @Example
  void placementOfALaterClockIsReleasedAfterATakeover() {
    SimulatedCell cell = cell(1);
    cell.submit("restored", SimulatedJobs.step(1, 9_000, 1_500, false));
    cell.run(1_000);
    cell.workers.get("w0").crash();
    cell.workers.get("w0").restart(50);
    cell.takeOver();
    cell.run(5_000);
    assertCompleted(cell, "restored");
  }

  /** Guards against duplicate runs and lost work when clocks are set back again and again. */
  @Property(tries = 20, seed = "4741")
  void clocksThatAreSetBackCauseNoDuplicates(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    SimulatedCell cell =
        new SimulatedCell(seed, SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE), 3);
    cell.faults = new SimulatedCell.Faults(0.02, 0.05, 0);
    cell.network.lateRenewal = 0.05;
    cell.network.delayedAnswer = 0.2;
    cell.workers.values().forEach(worker -> worker.incarnation = 1_000_000 + worker.incarnation);
    cell.run(900);
    String[] jobIds = new String[6];
    for (int round = 0; round < jobIds.length; round++) {
      jobIds[round] = "setback" + seed + "-" + round;
      cell.submit(jobIds[round], SimulatedJobs.step(4, 4_000, 1_200, false));
      cell.run(cell.random.nextInt(1_500));
      SimulatedWorker hit = cell.workers.get("w" + cell.random.nextInt(3));
      long change = cell.random.nextInt(2_000) - 1_500;
      if (hit.up && change != 0) {
        hit.crash();
        cell.after(5 + cell.random.nextInt(500), () -> hit.restart(hit.incarnation + change));
      }
      cell.run(1_500);
    }
    cell.run(25_000);
    assertCompleted(cell, jobIds);
  }

  /** Guards against a stale list, or a report that was overtaken, that ends the current runs. */
  @Example
  void staleListOrOvertakenReportAloneChangesNothing() {
    CoordinatorDriver driver = new CoordinatorDriver();
    driver.list(200);
    driver.answer(driver.nextImmediateRenewal(), 200, List.of());
    driver.submit("current", 9_000);
    Action.StartTask start = driver.nextStart();
    driver.answerStart(start, StartOutcome.STARTED);
    List<ReportedRun> running = List.of(new ReportedRun(start.task(), start.run(), "", 10, 0));
    CoordinatorDriver.SentRenewal early = driver.nextRenewal();
    driver.answer(early, 100, List.of());
    driver.list(100);
    driver.answer(early, 100, List.of());
    for (int round = 0; round < 8; round++) {
      driver.list(100);
      CoordinatorDriver.SentRenewal renewal = driver.nextRenewal();
      assertThat(renewal.order().address()).isEqualTo("w0:1");
      assertThat(renewal.order().deadlineMillis()).isPositive();
      assertThat(renewal.order().incarnation()).isEqualTo(200);
      driver.answer(renewal, 200, running);
    }
    assertThat(driver.stops()).isEmpty();
    driver.submit("other", 5_000);
    Action.StartTask other = driver.nextStart();
    assertThat(other.task()).startsWith("other");
  }

  /** Guards against a late list or report of the life before the clock was set back. */
  @Example
  void lifeBeforeTheClockWasSetBackDoesNotReturn() {
    CoordinatorDriver driver = new CoordinatorDriver();
    CoordinatorDriver.SentRenewal early = driver.nextRenewal();
    driver.list(50);
    driver.answer(driver.nextRenewal(), 50, List.of());
    driver.answer(driver.nextImmediateRenewal(), 50, List.of());
    driver.submit("current");
    Action.StartTask start = driver.nextStart();
    driver.answerStart(start, StartOutcome.STARTED);
    driver.list(CoordinatorDriver.FIRST_INCARNATION);
    driver.answer(early, CoordinatorDriver.FIRST_INCARNATION, List.of());
    List<ReportedRun> running = List.of(new ReportedRun(start.task(), start.run(), "", 10, 0));
    for (int round = 0; round < 3; round++) {
      CoordinatorDriver.SentRenewal renewal = driver.nextRenewal();
      assertThat(renewal.order().incarnation()).isEqualTo(50);
      driver.answer(renewal, 50, running);
    }
    assertThat(driver.stops()).isEmpty();
  }

  /** Guards against ends of a new life that the acknowledgement of the earlier one removes. */
  @Example
  void possibleLowerIncarnationIsSentNoAcknowledgement() {
    CoordinatorDriver driver = new CoordinatorDriver();
    driver.submit("ended");
    Action.StartTask start = driver.nextStart();
    driver.answerStart(start, StartOutcome.STARTED);
    driver.answerEnds(driver.nextRenewal(), new ReportedEnd(1, start.task(), 1, EndKind.DONE, ""));
    CoordinatorDriver.SentRenewal renewal = driver.nextRenewal();
    assertThat(renewal.order().acknowledgedEnd()).isEqualTo(1);
    driver.list(50);
    driver.fail(renewal);
    assertThat(driver.nextRenewal().order().acknowledgedEnd()).isZero();
  }
}
