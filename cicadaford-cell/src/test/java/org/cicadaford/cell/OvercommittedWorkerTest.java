package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.cicadaford.model.Resources;

/** Tests workers whose capacity has shrunk below what their runs use, and its growth after that. */
class OvercommittedWorkerTest {

  private static final AdvicePolicy ADVICE = new AdvicePolicy(20, 0.3, 2_500);

  private static SimulatedCell cell(int workers, AdvicePolicy advice) {
    return new SimulatedCell(1, SimulatedJobs.config(Resources.NONE, advice), workers);
  }

  /** Fills both workers with tasks of 5 s and shrinks the first one below the use of its runs. */
  private static SimulatedCell overcommitted(AdvicePolicy advice, Resources capacity) {
    SimulatedCell cell = cell(2, advice);
    cell.submit("running", SimulatedJobs.step(6, 5_000, 5_000, false));
    cell.run(500);
    assertThat(cell.workers.get("w0").runs).hasSize(3);
    CapacityScenarios.change(cell, "w0", capacity, 0);
    cell.run(500);
    return cell;
  }

  /** Guards against stopping runs, or forgetting them, when their worker shrinks below its use. */
  @Example
  void runsOfAnOvercommittedWorkerGoOnAndAreCounted() {
    SimulatedCell cell = overcommitted(AdvicePolicy.NONE, new Resources(6_000, 32_000, 0));
    int before = cell.ordersTo("w0");
    cell.submit("small", SimulatedJobs.step(8, 500, 300, false));
    cell.run(3_000);
    assertThat(cell.workers.get("w0").runs).hasSize(3);
    assertThat(cell.ordersTo("w0")).isEqualTo(before);
    assertThat(cell.coordinator.job("small").orElseThrow().phase()).isEqualTo(JobPhase.COMPLETED);
    cell.run(2_000);
    assertThat(cell.coordinator.job("running").orElseThrow().phase()).isEqualTo(JobPhase.COMPLETED);
    assertThat(cell.starts).isEqualTo(14);
    assertThat(cell.violations).isEmpty();
  }

  /** Guards against placing a gang, by size or in part, on a worker without free memory. */
  @Example
  void gangAvoidsAnOvercommittedWorker() {
    SimulatedCell cell = overcommitted(AdvicePolicy.NONE, new Resources(64_000, 200, 0));
    int before = cell.ordersTo("w0");
    cell.submit("gang", SimulatedJobs.step(2, 500, 300, true));
    cell.submit("widegang", SimulatedJobs.step(2, 3_000, 300, true));
    cell.run(2_000);
    assertThat(cell.ordersTo("w0")).isEqualTo(before);
    assertThat(cell.coordinator.job("gang").orElseThrow().phase()).isEqualTo(JobPhase.COMPLETED);
    assertThat(cell.coordinator.job("widegang").orElseThrow().phase()).isEqualTo(JobPhase.PENDING);
    cell.run(6_000);
    assertThat(cell.coordinator.job("widegang").orElseThrow().phase())
        .isEqualTo(JobPhase.COMPLETED);
  }

  /** Guards against counting negative slots, or a ticket for a worker without free capacity. */
  @Example
  void adviceFindsTheWorkersThatHaveCapacity() {
    SimulatedCell cell = overcommitted(ADVICE, new Resources(1_000, 32_000, 0));
    int before = cell.ordersTo("w0");
    cell.submit("advised", SimulatedJobs.step(3, 300, 300, false));
    cell.run(1_500);
    assertThat(cell.ordersTo("w0")).isEqualTo(before);
    assertThat(cell.coordinator.job("advised").orElseThrow().phase()).isEqualTo(JobPhase.COMPLETED);
  }

  /** Guards against slots on a worker whose free capacity is negative in one amount only. */
  @Example
  void overcommittedWorkerHasNoSlots() {
    StepSpec step = SimulatedJobs.step(5, 1_000, 300, false);
    assertThat(step.slotsIn(new Resources(-1, 32_000, 0))).isZero();
    assertThat(step.slotsIn(new Resources(16_000, -1, 0))).isZero();
    assertThat(step.slotsIn(new Resources(16_000, 32_000, -1))).isZero();
    assertThat(step.slotsIn(new Resources(2_500, 32_000, 0))).isEqualTo(2);
  }

  /** Guards against waiting for the retry interval of a step after its worker has grown. */
  @Example
  void growthIsUsedAsSoonAsItIsListed() {
    for (AdvicePolicy advice : new AdvicePolicy[] {AdvicePolicy.NONE, ADVICE}) {
      SimulatedCell cell = cell(1, advice);
      String id = "grows" + advice.required();
      cell.run(500);
      CapacityScenarios.change(cell, "w0", new Resources(1_000, 32_000, 0), 0);
      cell.run(500);
      cell.submit(id, SimulatedJobs.step(1, 4_000, 300, false));
      cell.run(1_055);
      assertThat(cell.starts).isZero();
      CapacityScenarios.change(cell, "w0", new Resources(4_000, 32_000, 0), 0);
      long nextListMillis = (cell.nowMillis / 300 + 1) * 300;
      cell.run(nextListMillis - cell.nowMillis + 30);
      assertThat(cell.starts).isEqualTo(1);
    }
  }
}
