package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.cicadaford.model.Resources;

/** Tests which runs are evicted from draining workers. */
class DrainEvictorTest {

  private static SimulatedCell cell(long seed) {
    return new SimulatedCell(seed, SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE), 3);
  }

  /**
   * Guards against long-running tasks that end with a draining worker: they could run elsewhere
   * only after its lease had expired.
   */
  @Example
  void longRunningTasksAreEvictedBeforeTheirWorkerShutsDown() {
    SimulatedCell cell = cell(28);
    cell.submit("stays", SimulatedJobs.longRunningStep(6, 2_000));
    cell.run(1_000);
    SimulatedWorker drainingWorker =
        cell.workers.values().stream().filter(w -> !w.runs.isEmpty()).findFirst().orElseThrow();
    cell.drain(drainingWorker.id, 2_000);
    cell.run(1_500);
    assertThat(drainingWorker.runs).isEmpty();
    int running = cell.workers.values().stream().mapToInt(worker -> worker.runs.size()).sum();
    assertThat(running).isEqualTo(6);
    cell.run(2_000);
    assertThat(cell.violations).isEmpty();
  }

  /** Guards against a step that has more tasks unavailable at a time than it allows. */
  @Example
  void evictionsRespectTheLimitOfUnavailableTasks() {
    SimulatedCell cell = cell(30);
    cell.submit("few", SimulatedJobs.longRunningStep(6, 2_000, 1));
    cell.run(1_000);
    SimulatedWorker drainingWorker =
        cell.workers.values().stream().filter(w -> w.runs.size() > 1).findFirst().orElseThrow();
    cell.drain(drainingWorker.id, 20_000);
    int fewest = 6;
    for (int round = 0; round < 3_800; round++) {
      cell.run(5);
      fewest =
          Math.min(
              fewest, cell.workers.values().stream().mapToInt(worker -> worker.runs.size()).sum());
    }
    assertThat(drainingWorker.runs).isEmpty();
    assertThat(fewest).isEqualTo(5);
    assertThat(cell.violations).isEmpty();
  }

  /** Guards against discarding work that its worker would have completed. */
  @Example
  void shortTasksCompleteOnADrainingWorker() {
    SimulatedCell cell = cell(29);
    cell.submit("short", SimulatedJobs.step(6, 2_000, 900, false));
    cell.submit("long", SimulatedJobs.step(6, 2_000, 9_000, false));
    cell.run(300);
    for (SimulatedWorker worker : List.copyOf(cell.workers.values()).subList(0, 2)) {
      cell.drain(worker.id, 2_000);
    }
    cell.run(1_500);
    assertThat(cell.coordinator.job("short").orElseThrow().phase()).isEqualTo(JobPhase.COMPLETED);
    cell.run(9_700);
    assertThat(cell.coordinator.job("long").orElseThrow().phase()).isEqualTo(JobPhase.COMPLETED);
    assertThat(cell.violations).isEmpty();
  }
}
