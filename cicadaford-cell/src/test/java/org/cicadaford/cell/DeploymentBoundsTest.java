package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import net.jqwik.api.Example;
import org.cicadaford.model.Resources;

/** Tests the times that follow from the bounds of a deployment. */
class DeploymentBoundsTest {

  private static final DeploymentBounds PAYROLL =
      new DeploymentBounds(900, 100, 500, 3_000, 4_000, 5_500, 262_144);
  private static final DeploymentBounds TURBINE =
      new DeploymentBounds(900, 100, 2_000, 3_000, 4_000, 5_500, 262_144);

  /** Guards against earlier deployments that are served differently because of derived times. */
  @Example
  void boundsOfEarlierDeploymentsGiveTheFormerFigures() {
    for (long restoreMillis : new long[] {250, 600}) {
      for (long checkpointMillis : new long[] {500, 1_000}) {
        DeploymentBounds bounds =
            new DeploymentBounds(
                400, restoreMillis, checkpointMillis, 2_000, 3_000, 4_500, 262_144);
        assertThat(bounds.preemptionLeadMillis()).isEqualTo(500);
        assertThat(bounds.minResumedRunMillis()).isEqualTo(1_500);
        assertThat(bounds.evictionLeadMillis()).isEqualTo(1_000);
        assertThat(bounds.stopCompletionMillis()).isEqualTo(1_000);
        assertThat(shutdownAfterMillis(bounds)).isEqualTo(2_000);
      }
    }
  }

  /** Guards against stops that take 900 ms and are still expected to take 400. */
  @Example
  void longerStopsAndCheckpointIntervalsLengthenWhatFollows() {
    assertThat(PAYROLL.preemptionLeadMillis()).isEqualTo(1_000);
    assertThat(PAYROLL.evictionLeadMillis()).isEqualTo(1_500);
    assertThat(PAYROLL.stopCompletionMillis()).isEqualTo(1_500);
    assertThat(PAYROLL.minResumedRunMillis()).isEqualTo(1_500);
    assertThat(TURBINE.minResumedRunMillis()).isEqualTo(2_000);
    assertThat(shutdownAfterMillis(TURBINE)).isEqualTo(3_000);
  }

  /** Returns the expected time until the shutdown of a draining worker that does not report it. */
  private static long shutdownAfterMillis(DeploymentBounds bounds) {
    CellState state = new CellState(CoordinatorSettings.forPlatform(6_000, 60_000, bounds));
    Worker worker = state.workerOrNew("w", 1);
    worker.updateListing(
        new ListedWorker("w", 1, "svc", "w:1", "z", true, 0, Resources.NONE, Set.of(), "r"), 0);
    return worker.shutdownAtMillis().orElseThrow();
  }
}
