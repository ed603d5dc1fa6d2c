package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import net.jqwik.api.Example;
import org.cicadaford.cell.learning.SpeedClass;

/** Tests how learnt speeds of workers change where a load as on the turbine deployment runs. */
class SpeedPlacementTest {

  /** The objective of 1,125 ms, less the 100 ms of the deployment that are not simulated. */
  private static final long URGENT_OBJECTIVE_MILLIS = 1_025;

  private static final int NEVER = Integer.MAX_VALUE;

  private static TurbineLoad load(int workers, double slowShare, double spread, int minWorkers) {
    return new TurbineLoad(1, workers, slowShare, spread, true, minWorkers);
  }

  private static double urgentOnTime(TurbineLoad load) {
    load.run(8_000);
    int learning = load.count("q");
    load.run(10_000);
    load.cell.run(3_000);
    assertThat(load.cell.violations).isEmpty();
    return load.onTime("q", learning, URGENT_OBJECTIVE_MILLIS);
  }

  private static Map<SpeedClass, Long> classes(TurbineLoad load, boolean slow) {
    return load.cell.workers.keySet().stream()
        .filter(id -> load.slow.contains(id) == slow)
        .map(load.cell.coordinator::speedClassOf)
        .flatMap(Optional::stream)
        .collect(Collectors.groupingBy(speed -> speed, Collectors.counting()));
  }

  /** Guards against speeds that do not help urgent jobs, or that are learnt for other workers. */
  @Example
  void moreUrgentJobsAreOnTimeWithLearntSpeeds() {
    double before = urgentOnTime(load(245, 0.33, 0.15, NEVER));
    TurbineLoad load = load(245, 0.33, 0.15, SpeedLearner.MIN_WORKERS);
    assertThat(urgentOnTime(load)).isGreaterThan(before + 0.005);
    assertThat(classes(load, true).get(SpeedClass.SLOW))
        .isGreaterThan(10 * classes(load, false).getOrDefault(SpeedClass.SLOW, 0L));
  }

  /** Guards against a successor that uses speeds it has not learnt, or that does not learn them. */
  @Example
  void aSuccessorLearnsTheSpeedsAgain() {
    TurbineLoad load = load(245, 0.33, 0.15, SpeedLearner.MIN_WORKERS);
    load.run(10_000);
    load.takeOver();
    load.run(1_000);
    assertThat(classes(load, true)).doesNotContainKey(SpeedClass.SLOW);
    load.run(12_000);
    assertThat(classes(load, true).get(SpeedClass.SLOW)).isGreaterThan(10);
    assertThat(load.cell.violations).isEmpty();
  }

  /** Guards against other placements in a cell whose workers are alike, or in a small cell. */
  @Example
  void placementsAreAsBeforeWhereSpeedsDoNotDifferOrTheCellIsSmall() {
    assertSamePlacements(120, 0, 0);
    assertSamePlacements(60, 0.33, 0.15);
  }

  private static void assertSamePlacements(int workers, double slowShare, double spread) {
    TurbineLoad before = new TurbineLoad(2, workers, slowShare, spread, false, NEVER);
    TurbineLoad after =
        new TurbineLoad(2, workers, slowShare, spread, false, SpeedLearner.MIN_WORKERS);
    before.run(8_000);
    after.run(8_000);
    assertThat(after.cell.traces).isEqualTo(before.cell.traces).isNotEmpty();
  }
}
