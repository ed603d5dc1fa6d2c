package org.cicadaford.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.cicadaford.cell.DeploymentBounds;

/** Tests which instances have the resources of a coordinator. */
class CellSettingsTest {

  private static CellSettings settings(double cores, double megabits) {
    return new CellSettings(
        "i",
        "z",
        "10.0.0.1",
        7000,
        6_000,
        120_000,
        cores,
        megabits,
        3_750,
        DeploymentBounds.DEFAULT);
  }

  /** Guards against a small instance taking over a large cell while a larger one is available. */
  @Example
  void smallInstancesLackCoordinatorResources() {
    assertThat(settings(0.75, 1_000).hasCoordinatorResources()).isTrue();
    assertThat(settings(1.5, 140).hasCoordinatorResources()).isTrue();
    assertThat(settings(0.36, 1_000).hasCoordinatorResources()).isFalse();
    assertThat(settings(1.5, 7).hasCoordinatorResources()).isFalse();
  }
}
