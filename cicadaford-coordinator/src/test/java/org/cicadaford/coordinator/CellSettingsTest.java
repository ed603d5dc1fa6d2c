package org.cicadaford.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Tests which instances leave the role of the coordinator to others. */
class CellSettingsTest {

  private static CellSettings settings(double cores, double megabits) {
    return new CellSettings("i", "z", "10.0.0.1", 7000, 6_000, 120_000, cores, megabits, 3_750);
  }

  /** Guards against a small instance that takes over a large cell while a fit one is there. */
  @Example
  void smallInstancesAreNotFit() {
    assertThat(settings(0.75, 1_000).fit()).isTrue();
    assertThat(settings(1.5, 140).fit()).isTrue();
    assertThat(settings(0.36, 1_000).fit()).isFalse();
    assertThat(settings(1.5, 7).fit()).isFalse();
  }
}
