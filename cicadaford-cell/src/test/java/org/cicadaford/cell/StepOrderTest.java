package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.cicadaford.model.Resources;

/** Tests the order of waiting steps under overload. */
class StepOrderTest {

  private static final Queue QUEUE =
      new Queue("q", "h", "/q/", "svc", 0, 4, 1.5, 250, 3_000, false, AdvicePolicy.NONE);

  private static CellConfig config() {
    return new CellConfig(
        1, List.of(QUEUE), List.of(new TeamShare("team", Set.of(), 0, Resources.NONE)));
  }

  private static StepRun step(String id, long acceptedAtMillis, long estimateMillis) {
    JobSpec spec =
        new JobSpec(
            "payload", List.of(SimulatedJobs.step(1, 1_000, estimateMillis, false)), 0, 0, 0);
    Job job = new Job(new JobDefinition(id, QUEUE, "team", "z", acceptedAtMillis, false, spec));
    return job.beginOccurrence(0).getFirst();
  }

  /**
   * Guards against serving a burst by age, where every job waits until it has missed its objective.
   * Two workers of 16 cores run 32 tasks at a time; a burst brings twice as much for 4 s, and half
   * as much for the next 8 s. Capacity suffices for two thirds of the work.
   */
  @Property(tries = 5, seed = "4821")
  void halfOfTheWorkOfABurstIsOnTime(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    SimulatedCell cell = new SimulatedCell(seed, config(), 2);
    cell.run(500);
    int submitted = 0;
    for (long elapsed = 0; elapsed < 12_000; elapsed += 50) {
      double jobsPerRound = 2.5 * (elapsed < 4_000 ? 2 : 0.5);
      while (cell.random.nextDouble() < jobsPerRound--) {
        submitOne(cell, seed, submitted++);
      }
      cell.run(50);
    }
    cell.run(OVERDUE_MILLIS);
    long objectiveMillis = Math.round(1.5 * WORK_MILLIS) + 250;
    long onTime = cell.ended.values().stream().filter(age -> age <= objectiveMillis).count();
    assertThat(cell.violations).isEmpty();
    assertThat(cell.ended).hasSize(cell.accepted.size());
    assertThat(onTime).isGreaterThanOrEqualTo(submitted / 2);
  }

  private static final long WORK_MILLIS = 600;
  private static final long OVERDUE_MILLIS = StepOrder.STARVATION_MILLIS + 10_000;

  private static void submitOne(SimulatedCell cell, long seed, int index) {
    cell.submit("burst" + seed + "-" + index, SimulatedJobs.step(1, 1_000, WORK_MILLIS, false));
  }

  /** Guards against overdue work that starves behind newer work. */
  @Example
  void overdueWorkDoesNotStarveUnderOverload() {
    SimulatedCell cell = new SimulatedCell(1, config(), 1);
    cell.run(500);
    int submitted = 0;
    for (long elapsed = 0; elapsed < 60_000; elapsed += 100) {
      for (int count = 0; count < 3; count++) {
        submitOne(cell, 77, submitted++);
      }
      cell.run(100);
      // 16 tasks run at a time, so 2.67 jobs of 0.6 s end in 0.1 s.
    }
    long longest = cell.ended.values().stream().mapToLong(age -> age).max().orElseThrow();
    long objectiveMillis = Math.round(1.5 * WORK_MILLIS) + 250;
    assertThat(longest).isGreaterThan(objectiveMillis);
    assertThat(longest).isLessThan(3 * objectiveMillis + StepOrder.STARVATION_MILLIS + 10_000);
  }

  /** Guards against placing work that is already late before work that can be on time. */
  @Example
  void workThatCanBeOnTimeGoesFirst() {
    StepRun missed = step("a", 0, 600);
    StepRun useless = step("b", -3_000, 600);
    StepRun urgent = step("c", 900, 200);
    StepRun relaxed = step("d", 900, 2_000);
    assertThat(
            List.of(useless, missed, relaxed, urgent).stream().sorted(StepOrder.at(1_000)).toList())
        .containsExactly(urgent, relaxed, missed, useless);
    assertThat(
            List.of(missed, useless).stream()
                .sorted(StepOrder.at(StepOrder.STARVATION_MILLIS + 100))
                .toList())
        .containsExactly(useless, missed);
  }
}
