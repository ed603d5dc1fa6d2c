package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;

/** Tests the calculation of job objectives. */
class JobObjectiveTest {

  private static final AdvicePolicy ADVICE = new AdvicePolicy(10, 1, 2_500);

  private static Queue queue(double stretch, AdvicePolicy advice) {
    return new Queue("q", "h", "/q", "svc", 0, 4, stretch, 250, 3_000, false, advice);
  }

  private static JobObjective objective(Queue queue, StepSpec... steps) {
    return JobObjective.of(new JobSpec("payload", List.of(steps), 0, 0, 0), queue);
  }

  /** Guards against an objective that adds up steps which run in parallel. */
  @Example
  void longestChainCounts() {
    JobObjective objective =
        objective(
            queue(1.5, AdvicePolicy.NONE),
            SimulatedJobs.step(2, 1_000, 400, false),
            SimulatedJobs.step(2, 1_000, 900, false),
            SimulatedJobs.step(1, 1_000, 300, false, 0, 1));
    assertThat(objective.objectiveMillis()).isEqualTo(1_800 + 250);
    assertThat(objective.remainingMillis()).containsExactly(700L, 1_200L, 300L);
    assertThat(objective.latestOnTimeStartMillis(0, 10_000)).isEqualTo(10_000 + 2_050 - 700);
    assertThat(objective.latestUsefulStartMillis(2, 10_000)).isEqualTo(10_000 + 3 * 2_050 - 300);
  }

  /** Guards against jobs that count as late because their steps wait for advice. */
  @Example
  void callForAdviceCountsForEachStep() {
    JobObjective objective =
        objective(
            queue(2, ADVICE),
            SimulatedJobs.step(1, 1_000, 100, false),
            SimulatedJobs.step(1, 1_000, 100, false, 0));
    assertThat(objective.objectiveMillis()).isEqualTo(2 * (40 + 100 + 40 + 100) + 250);
  }

  /** Guards against a step that depends on a later one. */
  @Example
  void stepsMayBeInAnyOrder() {
    JobObjective objective =
        objective(
            queue(1, AdvicePolicy.NONE),
            SimulatedJobs.step(1, 1_000, 100, false, 1),
            SimulatedJobs.step(1, 1_000, 200, false));
    assertThat(objective.remainingMillis()).containsExactly(100L, 300L);
  }
}
