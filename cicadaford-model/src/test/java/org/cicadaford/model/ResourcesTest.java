package org.cicadaford.model;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Tests the comparison with the free capacity of a worker that has shrunk below its use. */
class ResourcesTest {

  /** Guards against a start on an overcommitted worker by a task that needs none of an amount. */
  @Example
  void nothingFitsIfAnyAmountIsNegative() {
    Resources capacity = new Resources(4_000, 4_000, 1);
    assertThat(Resources.NONE.fitsIn(capacity)).isTrue();
    assertThat(Resources.NONE.fitsIn(capacity.minus(new Resources(4_001, 0, 0)))).isFalse();
    assertThat(Resources.NONE.fitsIn(capacity.minus(new Resources(0, 4_001, 0)))).isFalse();
    assertThat(Resources.NONE.fitsIn(capacity.minus(new Resources(0, 0, 2)))).isFalse();
  }
}
