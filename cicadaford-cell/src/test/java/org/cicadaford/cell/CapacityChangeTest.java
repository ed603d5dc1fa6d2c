package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/** Tests that workers whose capacity changes are not given more than they have. */
class CapacityChangeTest {

  private static void assertRulesHold(SimulatedCell cell, String... faults) {
    assertThat(FaultScenarios.duplicatesAndOverloads(cell)).isEmpty();
    assertThat(cell.network.counts).containsKeys(faults);
    assertThat(CapacityScenarios.unfinishedJobs(cell)).isEmpty();
  }

  /** Guards against starts by an earlier capacity when answers are lost and orders are late. */
  @Property(tries = 20, seed = "4750")
  void changesBesideLostAnswersCauseNoOverload(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    SimulatedCell cell = CapacityScenarios.lostAnswersAndLateOrders(seed);
    assertRulesHold(cell, "shrunk", "grown", "late start", "second copy");
  }

  /** Guards against starts by an earlier capacity of the next and of a replaced coordinator. */
  @Property(tries = 20, seed = "4751")
  void changesBesideTakeoversCauseNoOverload(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed, @ForAll boolean fencing) {
    assertRulesHold(
        CapacityScenarios.takeovers(seed, fencing), "shrunk", "grown", "order of a predecessor");
  }
}
