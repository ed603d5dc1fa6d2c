package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.cicadaford.model.Resources;

/** Tests that tasks start only on workers that suit them when their orders are sent. */
class WorkerKindTest {

  private static final AdvicePolicy ADVICE = new AdvicePolicy(20, 1, 2_500);

  /** Returns a step whose tasks each fill half of a worker. */
  private static StepSpec labelledStep(int tasks, int maxTasksPerWorker) {
    Resources demand = new Resources(8_000, 100, 0);
    return new StepSpec(
        tasks,
        demand,
        700,
        List.of(),
        false,
        false,
        false,
        "a",
        "",
        maxTasksPerWorker,
        false,
        false,
        "",
        0,
        false,
        0);
  }

  /** Guards against starts on a worker that came back without the label of the step. */
  @Property(tries = 20, seed = "4761")
  void workersThatRestartAsAnotherKindGetNoTasksOfTheirFormerLabel(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed, @ForAll boolean advised) {
    CellConfig config = SimulatedJobs.config(Resources.NONE, advised ? ADVICE : AdvicePolicy.NONE);
    SimulatedCell cell = new SimulatedCell(seed, config, 4);
    cell.run(600);
    String jobId = "kind" + seed + advised;
    cell.submit(jobId, labelledStep(60, 0));
    for (int round = 0; round < 4; round++) {
      cell.run(cell.random.nextInt(1_000));
      SimulatedWorker hit = cell.workers.get("w" + cell.random.nextInt(3));
      hit.crash();
      cell.run(5 + cell.random.nextInt(700));
      hit.labels = Set.of(cell.random.nextBoolean() ? "a" : "b");
      hit.restart(hit.incarnation + 100);
    }
    cell.run(20_000);
    assertThat(cell.violations).isEmpty();
    assertThat(cell.phaseOf(jobId)).isEqualTo(JobPhase.COMPLETED);
  }

  /** Guards against a start on a worker whose service no longer runs the queue. */
  @Example
  void startIsNotSentAfterItsQueueHasMovedToAnotherService() {
    SimulatedCell cell =
        new SimulatedCell(1, SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE), 1);
    cell.run(600);
    cell.storeDown = true;
    cell.submit("moved", labelledStep(1, 0));
    cell.run(100);
    Queue queue =
        new Queue("q", "h", "/q/", "other", 0, 4, 30, 250, 3_000, false, AdvicePolicy.NONE);
    cell.coordinator.configure(new CellConfig(2, List.of(queue), List.of()), Set.of());
    cell.storeDown = false;
    cell.run(300);
    assertThat(cell.starts).isZero();
  }

  /** Guards against more tasks of a step on a worker than permitted, and on a worker without it. */
  @Example
  void startIsNotSentBeyondTheLimitOfTasksOrWithoutTheLabel() {
    CellState state = new CellState(CoordinatorSettings.forPlatform(6_000, 60_000));
    state.config(SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE));
    ClockReading now = new ClockReading(1_000, 1_000);
    state.workerListAge().read(now);
    JobSpec spec = SimulatedJobs.job("limited", labelledStep(3, 1));
    Queue queue = state.config().queue("q").orElseThrow();
    Job job = new Job(new JobDefinition("limited", queue, "team", "zone", 0, false, spec));
    StepRun step = job.beginOccurrence(0).getFirst();
    Worker labelled = worker(state, "w0", "a");
    Placement present = new Placement(step.tasks().get(0), 1, labelled, 1, 1_000);
    Placement beyond = new Placement(step.tasks().get(1), 1, labelled, 1, 1_000);
    Placement unlabelled =
        new Placement(step.tasks().get(2), 1, worker(state, "w1", "b"), 1, 1_000);
    List.of(present, beyond, unlabelled).forEach(state::place);
    present.orderSent(state.events().next(), 1_000);
    new StartIssuer(state, new RunEndHandler(state, new PlacementReporter(state)))
        .issue(List.of(beyond, unlabelled), now);
    assertThat(state.actions()).noneMatch(Action.StartTask.class::isInstance);
    assertThat(step.waitingTasks()).containsExactly(step.tasks().get(1), step.tasks().get(2));
  }

  /** Returns a worker that is listed with a label and has answered at 1,000 ms. */
  static Worker worker(CellState state, String id, String label) {
    Worker worker = state.workerOrNew(id, 1);
    worker.updateListing(
        new ListedWorker(
            id,
            1,
            "svc",
            id + ":1",
            "zone",
            false,
            0,
            new Resources(64_000, 64_000, 0),
            Set.of(label),
            "rack"),
        1_000);
    worker.answered(1_000);
    worker.clock().update(1_000, 1_000);
    return worker;
  }
}
