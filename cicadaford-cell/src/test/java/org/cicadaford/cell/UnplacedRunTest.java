package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.cicadaford.cell.CoordinatorDriver.SentRenewal;
import org.cicadaford.model.Resources;

/** Tests runs that a worker reports while their task is placed elsewhere or not known. */
class UnplacedRunTest {

  private static final ReportedRun UNKNOWN = new ReportedRun("nosuchjob.0.0.0", 1, "", 10, 0);

  private static SimulatedCell cell() {
    return new SimulatedCell(1, SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE), 2);
  }

  /**
   * Starts a task whose run fails, and lets the other worker have a run of it as well, whose stops
   * are lost; returns the other worker.
   */
  private static SimulatedWorker startTwice(SimulatedCell cell, String jobId) {
    cell.faults = new SimulatedCell.Faults(0, 0, 1);
    StepSpec step = SimulatedJobs.step(1, 9_000, 2_500, false);
    cell.submit(jobId, step);
    cell.run(300);
    cell.faults = SimulatedCell.Faults.NONE;
    cell.network.lateStop = 1;
    SimulatedWorker other =
        cell.workers.values().stream().filter(worker -> worker.runs.isEmpty()).findFirst().get();
    String task = jobId + ".0.0.0";
    other.runs.put(
        task + "/1",
        new SimulatedWorker.Run(task, 1, 6_000, false, step.reservation(), 1, false, ""));
    // The other worker reports its run within a second, and the first one ends after that.
    cell.run(1_500);
    assertThat(cell.starts).isEqualTo(1);
    return other;
  }

  private static void assertCompleted(SimulatedCell cell, String jobId) {
    assertThat(cell.violations).isEmpty();
    assertThat(cell.coordinator.job(jobId).orElseThrow().phase()).isEqualTo(JobPhase.COMPLETED);
  }

  /** Guards against a third start after the second run has failed, while the first one goes on. */
  @Example
  void taskIsNotStartedAgainBesideARunThatIsBeingStopped() {
    SimulatedCell cell = cell();
    startTwice(cell, "thirdstart");
    cell.run(12_000);
    assertCompleted(cell, "thirdstart");
  }

  /** Guards against a task that never runs again as the worker of its other run is cut off. */
  @Example
  void taskIsStartedAgainWhenTheLeaseOfItsOtherRunHasExpired() {
    SimulatedCell cell = cell();
    SimulatedWorker other = startTwice(cell, "cutoff");
    other.reachable = false;
    cell.run(2_000);
    assertThat(cell.starts).isEqualTo(1);
    cell.run(18_000);
    assertCompleted(cell, "cutoff");
    assertThat(cell.starts).isEqualTo(2);
  }

  /** Guards against a task that never runs again as the worker of its other run has restarted. */
  @Example
  void taskIsStartedAgainWhenTheWorkerOfItsOtherRunHasRestarted() {
    SimulatedCell cell = cell();
    SimulatedWorker other = startTwice(cell, "restarted");
    other.crash();
    other.restart(200);
    cell.run(6_000);
    assertCompleted(cell, "restarted");
  }

  /**
   * Guards against a start that was being stored when another worker reported a run of its task.
   */
  @Example
  void startIsNotSentAfterAnotherWorkerHasReportedARunOfItsTask() {
    SimulatedCell cell = cell();
    cell.run(1_000);
    cell.storeDown = true;
    StepSpec step = SimulatedJobs.step(1, 9_000, 2_500, false);
    cell.submit("elsewhere", step);
    cell.run(100);
    cell.network.lateStop = 1;
    String task = "elsewhere.0.0.0";
    cell.workers
        .get("w1")
        .runs
        .put(
            task + "/1",
            new SimulatedWorker.Run(task, 1, 6_000, false, step.reservation(), 1, false, ""));
    cell.run(1_200);
    cell.storeDown = false;
    cell.run(12_000);
    assertCompleted(cell, "elsewhere");
  }

  /** Guards against placing a task, or a gang, again and again beside a run that is not placed. */
  @Example
  void taskWithAnUnplacedRunIsNotPlaceable() {
    for (boolean gang : List.of(false, true)) {
      JobSpec spec = SimulatedJobs.job("blocked", SimulatedJobs.step(2, 1_000, 500, gang));
      Queue queue =
          SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE).queue("q").orElseThrow();
      Job job = new Job(new JobDefinition("blocked", queue, "team", "zone-0", 0, false, spec));
      StepRun step = job.beginOccurrence(0).getFirst();
      assertThat(step.placeable()).isTrue();
      step.tasks().forEach(Task::unplacedRunAdded);
      assertThat(step.placeable()).isFalse();
      step.tasks().getFirst().unplacedRunRemoved();
      assertThat(step.placeable()).isEqualTo(!gang);
      step.tasks().getLast().unplacedRunRemoved();
      assertThat(step.placeable()).isTrue();
    }
  }

  /** Guards against a start that was being stored when an earlier run of its task was reported. */
  @Example
  void startIsNotSentAfterAnEarlierRunHasBeenReported() {
    CoordinatorDriver driver = new CoordinatorDriver();
    SentRenewal renewal = driver.nextRenewal();
    driver.submit("stored");
    Action.StartTask first = driver.nextStart();
    driver.storing = false;
    driver.answerStart(first, StartOutcome.NOT_STARTED);
    driver.advance(700);
    List<ReportedRun> running = List.of(new ReportedRun(first.task(), first.run(), "", 10, 0));
    driver.answer(renewal, running);
    driver.storing = true;
    for (int round = 0; round < 3; round++) {
      assertThat(driver.starts(50)).isEmpty();
      driver.answer(driver.nextRenewal(), running);
    }
    assertThat(driver.starts(50)).isEmpty();
  }

  /** Guards against a start on a worker that has just reported a run of unknown size. */
  @Example
  void startIsNotSentToAWorkerWithAnUnplacedRun() {
    CoordinatorDriver driver = new CoordinatorDriver();
    SentRenewal renewal = driver.nextRenewal();
    driver.storing = false;
    driver.submit("pending", 9_000);
    driver.answer(renewal, List.of(UNKNOWN));
    driver.storing = true;
    assertThat(driver.starts(50)).isEmpty();
    driver.answer(driver.nextRenewal(), List.of());
    assertThat(driver.starts(600)).hasSize(1);
  }

  /** Guards against a report that was requested before the one that lists the run. */
  @Example
  void overtakenReportDoesNotFreeTheCapacityOfAnUnplacedRun() {
    CoordinatorDriver driver = new CoordinatorDriver();
    SentRenewal early = driver.nextRenewal();
    driver.submit("uncertain");
    Action.StartTask unanswered = driver.nextStart();
    ReportedRun started = new ReportedRun(unanswered.task(), unanswered.run(), "", 10, 0);
    driver.answer(driver.nextImmediateRenewal(), List.of(UNKNOWN, started));
    driver.answer(early, List.of(started));
    driver.submit("next", 9_000);
    assertThat(driver.starts(50)).isEmpty();
    driver.answer(driver.nextRenewal(), List.of(started));
    assertThat(driver.starts(50)).hasSize(1);
  }
}
