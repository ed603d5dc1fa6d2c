package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.cicadaford.model.Resources;

/** Tests which runs are taken off workers that leave. */
class DrainEvictorTest {

  private static SimulatedCell cell(long seed) {
    return new SimulatedCell(seed, SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE), 3);
  }

  /**
   * Guards against tasks that last and end with a worker that leaves: they run elsewhere only once
   * its lease is over. Found by the hunt on retorno-sul, mix --seed 302671769872 (LOST).
   */
  @Example
  void lastingTasksAreMovedBeforeTheirWorkerLeaves() {
    SimulatedCell cell = cell(28);
    cell.submit("stays", SimulatedJobs.lastingStep(6, 2_000));
    cell.run(1_000);
    SimulatedWorker leaving =
        cell.workers.values().stream().filter(w -> !w.runs.isEmpty()).findFirst().orElseThrow();
    cell.drain(leaving.id, 2_000);
    cell.run(1_500);
    assertThat(leaving.runs).isEmpty();
    int running = cell.workers.values().stream().mapToInt(worker -> worker.runs.size()).sum();
    assertThat(running).isEqualTo(6);
    cell.run(2_000);
    assertThat(cell.violations).isEmpty();
  }

  /** Guards against a step whose tasks are all away at a time, though only one of them may be. */
  @Example
  void noMoreTasksAreTakenOffThanMayBeAway() {
    SimulatedCell cell = cell(30);
    cell.submit("few", SimulatedJobs.lastingStep(6, 2_000, 1));
    cell.run(1_000);
    SimulatedWorker leaving =
        cell.workers.values().stream().filter(w -> w.runs.size() > 1).findFirst().orElseThrow();
    cell.drain(leaving.id, 20_000);
    int fewest = 6;
    for (int round = 0; round < 3_800; round++) {
      cell.run(5);
      fewest =
          Math.min(
              fewest, cell.workers.values().stream().mapToInt(worker -> worker.runs.size()).sum());
    }
    assertThat(leaving.runs).isEmpty();
    assertThat(fewest).isEqualTo(5);
    assertThat(cell.violations).isEmpty();
  }

  /** Guards against work that is thrown away though its worker would have finished it. */
  @Example
  void shortTasksAreLeftToAWorkerThatDrains() {
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
