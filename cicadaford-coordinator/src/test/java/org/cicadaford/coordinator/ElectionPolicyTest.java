package org.cicadaford.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Tests when the role of the coordinator is claimed. */
class ElectionPolicyTest {

  private static final Leadership OTHER = new Leadership(7, "other", "10.0.0.1:7000");

  private static ElectionPolicy following() {
    ElectionPolicy policy = new ElectionPolicy();
    policy.announced(OTHER, 0);
    policy.coordinatorSound(0);
    return policy;
  }

  /** Guards against an instance that is cut off replacing a coordinator that works. */
  @Example
  void coordinatorThatStillAppendsIsNotReplaced() {
    ElectionPolicy policy = following();
    for (long now = 0; now < 20_000; now += 50) {
      long end = now / ElectionPolicy.JOURNAL_HEARTBEAT_MILLIS;
      policy.coordinatorUnsound();
      policy.observed(end, now, now + 5);
      assertThat(policy.claimableEnd(now + 5, 0)).isEmpty();
    }
  }

  /** Guards against a cell that stays without a coordinator after it was killed. */
  @Example
  void abandonedJournalIsClaimedAtItsEnd() {
    ElectionPolicy policy = following();
    long now = ElectionPolicy.SILENCE_MILLIS;
    assertThat(policy.wantsObservation(now - 1)).isFalse();
    assertThat(policy.wantsObservation(now)).isTrue();
    policy.observed(41, now, now);
    assertThat(policy.claimableEnd(now + ElectionPolicy.ABANDONED_MILLIS - 1, 0)).isEmpty();
    assertThat(policy.claimableEnd(now + ElectionPolicy.ABANDONED_MILLIS, 0)).hasValue(41);
  }

  /** Guards against a standby that notices a lost coordinator no sooner than all others. */
  @Example
  void standbyWatchesTheJournalSooner() {
    ElectionPolicy policy = following();
    policy.standby(true);
    long now = ElectionPolicy.STANDBY_SILENCE_MILLIS;
    assertThat(policy.wantsObservation(now - 1)).isFalse();
    assertThat(policy.wantsObservation(now)).isTrue();
    policy.observed(41, now, now);
    assertThat(policy.claimableEnd(now + ElectionPolicy.ABANDONED_MILLIS, 0)).hasValue(41);
    policy.standby(false);
    policy.coordinatorSound(1_000);
    assertThat(policy.wantsObservation(1_000 + ElectionPolicy.SILENCE_MILLIS - 1)).isFalse();
  }

  /** Guards against waiting for a coordinator that has resigned or was restarted. */
  @Example
  void vacantRoleIsClaimedAtOnce() {
    ElectionPolicy policy = following();
    policy.coordinatorGone();
    policy.observed(41, 10, 12);
    assertThat(policy.claimableEnd(12, 0)).hasValue(41);
    assertThat(policy.claimableEnd(12, 30)).isEmpty();
    assertThat(policy.claimableEnd(42, 30)).hasValue(41);
  }

  /** Guards against a slow store making a working coordinator look dead. */
  @Example
  void slowStoreDelaysTheClaim() {
    ElectionPolicy policy = following();
    policy.coordinatorUnsound();
    policy.observed(41, 0, 240);
    long needed = 240 + ElectionPolicy.ABANDONED_MILLIS + 2 * 240;
    assertThat(policy.claimableEnd(needed - 1, 0)).isEmpty();
    assertThat(policy.claimableEnd(needed, 0)).hasValue(41);
  }

  /**
   * Guards against an instance that comes second and replaces the one that has just claimed the
   * role; after a loss of power the records were then loaded twice, half a second each.
   */
  @Example
  void instanceWhoseClaimWasRejectedLeavesTimeToTheOther() {
    ElectionPolicy policy = following();
    policy.coordinatorGone();
    policy.observed(10, 1_000, 1_005);
    assertThat(policy.claimableEnd(1_005, 0)).hasValue(10);
    policy.claimLost(1_020);
    policy.observed(11, 1_025, 1_030);
    assertThat(policy.claimableEnd(1_060, 0)).isEmpty();
    policy.observed(11, 1_500, 1_505);
    assertThat(policy.claimableEnd(1_700, 0)).as("given up in the end").hasValue(11);
  }

  /**
   * Guards against a coordinator whose process has ended and that is waited for as long as for one
   * that may only be slow, and against one that still appends and is replaced.
   */
  @Example
  void coordinatorWhoseProcessHasEndedIsReplacedSooner() {
    ElectionPolicy policy = following();
    policy.coordinatorRefused();
    policy.observed(10, 1_000, 1_005);
    assertThat(policy.claimableEnd(1_200, 0)).as("it may append still").isEmpty();
    policy.observed(11, 1_200, 1_205);
    assertThat(policy.claimableEnd(1_300, 0)).as("it has appended").isEmpty();
    policy.observed(11, 1_460, 1_465);
    assertThat(policy.claimableEnd(1_470, 0)).hasValue(11);
  }
}
