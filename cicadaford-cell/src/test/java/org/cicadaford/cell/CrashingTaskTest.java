package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/**
 * Tests that tasks that crash their workers are given up in time, and that no other job fails for
 * it.
 */
class CrashingTaskTest {

  private static void assertRulesHold(CrashingTaskScenarios.Result result, String... faults) {
    assertThat(result.cell().violations).isEmpty();
    assertThat(result.incomplete()).isEmpty();
    assertThat(result.unended()).isEmpty();
    assertThat(result.cell().network.countOf("crash")).isPositive();
    for (String fault : faults) {
      assertThat(result.cell().network.countOf(fault)).as(fault).isPositive();
    }
  }

  /** Guards against failing the jobs whose starts were in transit when a rack crashed. */
  @Property(tries = 20, seed = "4763")
  void crashOfARackFailsNoJob(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed, @ForAll boolean sameId) {
    assertRulesHold(CrashingTaskScenarios.rackCrashes(seed, sameId), "rack crash");
  }

  /** Guards against failing jobs whose workers crash for another reason. */
  @Property(tries = 20, seed = "4764")
  void randomCrashesFailNoJob(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed, @ForAll boolean sameId) {
    assertRulesHold(CrashingTaskScenarios.randomCrashes(seed, sameId));
  }
}
