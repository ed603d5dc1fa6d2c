package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import net.jqwik.api.Example;
import org.cicadaford.model.Resources;

/** Tests that failing workers are avoided, and that failures are forgotten. */
class WorkerQuarantineTest {

  private static final String FAILING = "w0";
  private static final int SERVICES = 8;
  private static final int TASKS = 12;

  private final Map<String, Long> lastSeenMillis = new HashMap<>();
  private long longestGapMillis;

  private static SimulatedCell cell(int workers) {
    CellConfig config = SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE);
    SimulatedCell cell = new SimulatedCell(17, config, workers);
    cell.run(500);
    return cell;
  }

  /**
   * Guards against workers that take no task any more because tasks of several services have failed
   * there, one after the other, while others go on running.
   */
  @Example
  void servicesWhoseTasksFailKeepRunning() {
    SimulatedCell cell = cell(24);
    cell.workers
        .values()
        .forEach(
            worker ->
                worker.life = () -> 500 - (long) (12_000 * Math.log(1 - cell.random.nextDouble())));
    for (int index = 0; index < SERVICES; index++) {
      cell.submit("service" + index, SimulatedJobs.longRunningStep(TASKS, 1_000));
    }
    for (int round = 0; round < 800; round++) {
      cell.run(100);
      for (SimulatedWorker worker : cell.workers.values()) {
        worker.runs.values().forEach(run -> lastSeenMillis.put(run.task, cell.nowMillis));
      }
      for (long seenMillis : lastSeenMillis.values()) {
        longestGapMillis = Math.max(longestGapMillis, cell.nowMillis - seenMillis);
      }
    }
    assertThat(lastSeenMillis).hasSize(SERVICES * TASKS);
    assertThat(longestGapMillis).isLessThan(4_000);
  }

  /** Guards against a worker that fails all it starts and gets more than one task at a time. */
  @Example
  void workerThatFailsAllItStartsIsAvoided() {
    for (long lifeMillis : new long[] {100, 5_000}) {
      SimulatedCell cell = cell(4);
      cell.workers.get(FAILING).life = () -> lifeMillis;
      // The first tasks that are placed there, before any has failed, may fill the worker.
      for (int index = 0; index < 300; index++) {
        cell.submit("job" + lifeMillis + "-" + index, SimulatedJobs.step(1, 2_000, 5_000, false));
        cell.run(200);
      }
      long slots = 8;
      // From then on a run of at least lifeMillis follows each quarantine of 1 s and then 2 s.
      long probes = 60_000 / (2_000 + lifeMillis) + 2;
      assertThat(cell.ordersTo(FAILING)).isBetween(3, (int) (2 * slots + probes));
    }
  }

  /** Guards against a worker that stays suspected because long-running tasks never end done. */
  @Example
  void workerThatFailedForAWhileTakesTasksNextToLongRunningOnes() {
    SimulatedCell cell = cell(1);
    cell.submit("service", SimulatedJobs.longRunningStep(2, 1_000));
    cell.run(1_000);
    SimulatedWorker worker = cell.workers.get(FAILING);
    worker.life = () -> 100;
    for (int index = 0; index < 4; index++) {
      cell.submit("failed" + index, SimulatedJobs.longRunningStep(1, 1_000));
    }
    cell.run(3_000);
    worker.life = () -> Long.MAX_VALUE;
    cell.run(WorkerQuarantine.PROVEN_MILLIS + 3_000);
    assertThat(worker.runs).hasSize(6);
  }

  /** Guards against a worker that is filled again while a probe longer than the expiry runs. */
  @Example
  void workerThatFailsLongTasksAtTheirEndGetsOneAtATime() {
    SimulatedCell cell = cell(1);
    SimulatedWorker worker = cell.workers.get(FAILING);
    worker.life = () -> WorkerQuarantine.EXPIRY_MILLIS + 5_000;
    for (int index = 0; index < 20; index++) {
      cell.submit("long" + index, SimulatedJobs.step(1, 2_000, 30_000, false));
    }
    cell.run(WorkerQuarantine.EXPIRY_MILLIS + 6_500);
    int mostRuns = 0;
    for (int round = 0; round < 500; round++) {
      cell.run(100);
      mostRuns = Math.max(mostRuns, worker.runs.size());
    }
    assertThat(mostRuns).isOne();
  }

  /**
   * Guards against a worker that fails all tasks that end and is filled again because a
   * long-running one runs there, and against one that stays suspected because of that one.
   */
  @Example
  void longRunningTaskDoesNotClearFailuresOfOtherTasks() {
    SimulatedCell cell = cell(1);
    SimulatedWorker worker = cell.workers.get(FAILING);
    worker.life = () -> 100;
    for (int index = 0; index < 3; index++) {
      cell.submit("failed" + index, SimulatedJobs.step(1, 1_000, 5_000, false));
    }
    cell.run(400);
    worker.life = () -> Long.MAX_VALUE;
    for (int index = 0; index < 3; index++) {
      cell.coordinator.cancel("failed" + index, cell.moment());
    }
    cell.submit("service", SimulatedJobs.longRunningStep(1, 1_000));
    cell.run(2_000);
    assertThat(worker.runs).hasSize(1);
    cell.submit("waiting", SimulatedJobs.step(4, 1_000, 60_000, false));
    cell.run(WorkerQuarantine.PROVEN_MILLIS + 1_000);
    assertThat(worker.runs).hasSize(2);
    cell.coordinator.cancel("waiting", cell.moment());
    cell.run(WorkerQuarantine.EXPIRY_MILLIS);
    cell.submit("later", SimulatedJobs.step(4, 1_000, 60_000, false));
    cell.run(1_000);
    assertThat(worker.runs).hasSize(5);
  }
}
