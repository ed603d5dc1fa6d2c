package org.cicadaford.decision;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.cicadaford.decision.OwnershipPolicy.Action;

/** Guards against needless claims, and against two owners that both continue. */
class OwnershipPolicyTest {

  private static final long NOW_MILLIS = 100_000;

  private final OwnershipPolicy policy = new OwnershipPolicy(OwnershipSettings.DEFAULT);

  private Action follower(long heartbeatAgeMillis, long batchAgeMillis, long logAgeMillis) {
    return policy.decide(
        new OwnershipView(
            "a",
            true,
            5,
            "b",
            -1,
            5,
            0,
            NOW_MILLIS - heartbeatAgeMillis,
            NOW_MILLIS - batchAgeMillis,
            NOW_MILLIS - logAgeMillis,
            -1,
            0,
            0,
            false),
        NOW_MILLIS);
  }

  private Action owner(long streamEpoch, long peerEpoch, boolean stopping) {
    return policy.decide(
        new OwnershipView(
            "a",
            true,
            streamEpoch,
            "a",
            5,
            peerEpoch,
            0,
            0,
            NOW_MILLIS,
            NOW_MILLIS,
            -1,
            0,
            1,
            stopping),
        NOW_MILLIS);
  }

  @Example
  void silentOwnerIsReplacedAndLivingOneIsNot() {
    assertThat(follower(5_000, 5_000, 0)).isEqualTo(Action.CLAIM);
    assertThat(follower(1_400, 5_000, 0)).isEqualTo(Action.FOLLOW);
    assertThat(follower(60_000, 2_000, 0)).isEqualTo(Action.FOLLOW);
    assertThat(follower(100, 7_600, 0)).isEqualTo(Action.CLAIM);
    assertThat(follower(5_000, 9_000, 3_000)).isEqualTo(Action.FOLLOW);
  }

  @Example
  void replacedOwnerStepsDownAndStoppingOneHandsOver() {
    assertThat(owner(5, 5, false)).isEqualTo(Action.OWN);
    assertThat(owner(6, 5, false)).isEqualTo(Action.STEP_DOWN);
    assertThat(owner(5, 6, true)).isEqualTo(Action.STEP_DOWN);
    assertThat(owner(5, 5, true)).isEqualTo(Action.HAND_OVER);
  }

  /**
   * Fails when two candidates, whose claims take 100 ms to read back, collide in more than a fifth
   * of the epochs.
   */
  @Example
  void candidatesRarelyRace() {
    int races = 0;
    for (int epoch = 0; epoch < 1_000; epoch++) {
      long gap = policy.jitterMillis("entry-1", epoch) - policy.jitterMillis("entry-2", epoch);
      races += Math.abs(gap) < 100 ? 1 : 0;
    }
    assertThat(races).isLessThan(200);
  }
}
