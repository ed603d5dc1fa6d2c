package org.cicadaford.decision;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Assume;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.cicadaford.decision.fake.SimulatedZone;

/**
 * Guards the requirements on running tasks over random histories: owners pause between any two
 * steps, take over from each other and lose connectivity; workers crash, pause, lose their state or
 * their links; the log delays, duplicates and loses records.
 */
class LeaseSafetyTest {

  private static final int STEPS = 4_000;

  private static SimulatedZone run(long seed) {
    SimulatedZone simulation = new SimulatedZone(seed);
    simulation.run(STEPS);
    Assume.that(simulation.startCount > 0);
    return simulation;
  }

  /** Fails when capacity is freed while the task may still run, or committed twice. */
  @Property(seed = "11", tries = 60, edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
  void workersAreNeverCommittedBeyondTheirCapacity(@ForAll long seed) {
    SimulatedZone simulation = run(seed);

    assertThat(simulation.violations.get("R1")).isNull();
    assertThat(simulation.violations.get("END")).isNull();
  }

  /** Fails when a task is placed again before its last lease has certainly ended. */
  @Property(seed = "12", tries = 40, edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
  void taskNeverRunsOnTwoWorkersAtOnce(@ForAll long seed) {
    assertThat(run(seed).violations.get("R2")).isNull();
  }

  /**
   * Fails when a start takes effect long after the configuration that allowed it was last
   * confirmed.
   */
  @Property(seed = "16", tries = 120, edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
  void nothingStartsLongAfterTheZoneWasTakenOut(@ForAll long seed) {
    assertThat(run(seed).violations.get("R6")).isNull();
  }

  /** Fails when a task that may have started is recorded as not started and started again. */
  @Property(seed = "19", tries = 100, edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
  void tasksThatMustNotBeRepeatedStartAtMostOnce(@ForAll long seed) {
    assertThat(run(seed).violations.get("R9")).isNull();
  }

  /** Fails when a cancellation, an end or a start is never retried after faults. */
  @Property(seed = "20", tries = 20, edgeCases = EdgeCasesMode.NONE, shrinking = ShrinkingMode.OFF)
  void batchWorkEndsOnceFaultsEnd(@ForAll long seed) {
    SimulatedZone simulation = run(seed);
    simulation.settle(5 * STEPS);

    assertThat(simulation.unsettled()).isEmpty();
  }
}
