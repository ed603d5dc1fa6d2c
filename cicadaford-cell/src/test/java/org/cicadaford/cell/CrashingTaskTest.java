package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
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

  /** Prints figures of a scenario, which no test bounds. */
  private static void printFigures(String name, CrashingTaskScenarios.Result result) {
    System.out.println(name + ": " + result.figures());
  }

  /** Guards against a task that takes one worker after the other out of the cell. */
  @Property(tries = 20, seed = "4760")
  void crashingTaskIsGivenUp(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed, @ForAll boolean sameId) {
    assertRulesHold(CrashingTaskScenarios.crashingTasks(seed, sameId));
  }

  /** Guards against crashes that the next coordinator does not know of. */
  @Property(tries = 20, seed = "4761")
  void crashesAreCountedOverTakeovers(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed, @ForAll boolean sameId) {
    assertRulesHold(CrashingTaskScenarios.takeovers(seed, sameId), "takeover after an order");
  }

  /** Guards against crashes that are missed, or counted twice, when answers are lost or late. */
  @Property(tries = 20, seed = "4762")
  void crashesAreCountedWithLostAnswers(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed, @ForAll boolean sameId) {
    assertRulesHold(
        CrashingTaskScenarios.lostAnswers(seed, sameId),
        "late start",
        "cut-off",
        "unanswered start");
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

  /**
   * Guards against failing jobs whose workers had crashed long after their starts when the
   * coordinator changed; the crashes of two such workers counted as certain ones of their only run.
   */
  @Example
  void workersLostBeforeTakeoversFailNoJob() {
    for (long seed : new long[] {2_000_003, 2_000_006, 2_000_056}) {
      assertRulesHold(CrashingTaskScenarios.randomCrashes(seed, false));
    }
  }

  /** Guards against gangs and long-running tasks that crash workers without end. */
  @Property(tries = 20, seed = "4765")
  void gangWithACrashingMemberIsGivenUp(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed, @ForAll boolean sameId) {
    assertRulesHold(CrashingTaskScenarios.gangsAndLongRunningTasks(seed, sameId));
  }

  /** Guards against jobs that fail when a fifth of the jobs crash workers for 10 s. */
  @Example
  void manyCrashingTasksFailNoOtherJob() {
    for (long seed = 1; seed <= 3; seed++) {
      CrashingTaskScenarios.Result result = CrashingTaskScenarios.manyCrashingTasks(seed, true);
      printFigures("seed " + seed + " with crashing tasks", result);
      printFigures(
          "seed " + seed + " without", CrashingTaskScenarios.manyCrashingTasks(seed, false));
      assertRulesHold(result);
    }
  }
}
