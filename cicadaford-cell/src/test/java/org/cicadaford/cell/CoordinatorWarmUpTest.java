package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Guards against a warm-up that never ends, or that fails and stops the loop of the standby. */
class CoordinatorWarmUpTest {

  @Example
  void warmUpEndsAfterItsRounds() {
    CoordinatorWarmUp warmUp = new CoordinatorWarmUp();
    int rounds = 1;
    while (warmUp.runRound()) {
      rounds++;
      assertThat(rounds).isLessThan(1_000);
    }
    assertThat(rounds).isGreaterThan(10);
  }
}
