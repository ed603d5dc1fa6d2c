package org.cicadaford.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Tests when the coordinator role is claimed. */
class ElectionPolicyTest {

  private static final Leadership OTHER = new Leadership(7, "other", "10.0.0.1:7000");

  private static ElectionPolicy following() {
    ElectionPolicy policy = new ElectionPolicy();
    policy.recordAnnouncement(OTHER, 0);
    policy.recordHealthyCoordinator(0);
    return policy;
  }

  /** Guards against a partitioned instance replacing a working coordinator. */
  @Example
  void coordinatorThatStillAppendsIsNotReplaced() {
    ElectionPolicy policy = following();
    for (long now = 0; now < 20_000; now += 50) {
      long end = now / ElectionPolicy.JOURNAL_HEARTBEAT_MILLIS;
      policy.recordUnhealthyCoordinator();
      policy.recordJournalEnd(end, now, now + 5);
      assertThat(policy.claimableEnd(now + 5, 0)).isEmpty();
    }
  }

  /** Guards against a cell remaining without a coordinator after the process was killed. */
  @Example
  void abandonedJournalIsClaimedAtItsEnd() {
    ElectionPolicy policy = following();
    long now = ElectionPolicy.HEARTBEAT_TIMEOUT_MILLIS;
    assertThat(policy.shouldObserveJournal(now - 1)).isFalse();
    assertThat(policy.shouldObserveJournal(now)).isTrue();
    policy.recordJournalEnd(41, now, now);
    assertThat(policy.claimableEnd(now + ElectionPolicy.JOURNAL_IDLE_TIMEOUT_MILLIS - 1, 0))
        .isEmpty();
    assertThat(policy.claimableEnd(now + ElectionPolicy.JOURNAL_IDLE_TIMEOUT_MILLIS, 0))
        .hasValue(41);
  }

  /** Guards against a standby detecting a lost coordinator no sooner than other instances. */
  @Example
  void standbyWatchesTheJournalSooner() {
    ElectionPolicy policy = following();
    policy.setStandby(true);
    long now = ElectionPolicy.STANDBY_HEARTBEAT_TIMEOUT_MILLIS;
    assertThat(policy.shouldObserveJournal(now - 1)).isFalse();
    assertThat(policy.shouldObserveJournal(now)).isTrue();
    policy.recordJournalEnd(41, now, now);
    assertThat(policy.claimableEnd(now + ElectionPolicy.JOURNAL_IDLE_TIMEOUT_MILLIS, 0))
        .hasValue(41);
    policy.setStandby(false);
    policy.recordHealthyCoordinator(1_000);
    assertThat(policy.shouldObserveJournal(1_000 + ElectionPolicy.HEARTBEAT_TIMEOUT_MILLIS - 1))
        .isFalse();
  }

  /** Guards against waiting for a coordinator that has resigned or restarted. */
  @Example
  void vacantRoleIsClaimedAtOnce() {
    ElectionPolicy policy = following();
    policy.recordVacancy();
    policy.recordJournalEnd(41, 10, 12);
    assertThat(policy.claimableEnd(12, 0)).hasValue(41);
    assertThat(policy.claimableEnd(12, 30)).isEmpty();
    assertThat(policy.claimableEnd(42, 30)).hasValue(41);
  }

  /** Guards against treating a working coordinator as lost because the store is slow. */
  @Example
  void slowStoreDelaysTheClaim() {
    ElectionPolicy policy = following();
    policy.recordUnhealthyCoordinator();
    policy.recordJournalEnd(41, 0, 240);
    long needed = 240 + ElectionPolicy.JOURNAL_IDLE_TIMEOUT_MILLIS + 2 * 240;
    assertThat(policy.claimableEnd(needed - 1, 0)).isEmpty();
    assertThat(policy.claimableEnd(needed, 0)).hasValue(41);
  }

  /**
   * Guards against a second instance replacing the one that has just claimed the role. After a
   * power loss the records were then loaded twice, half a second each.
   */
  @Example
  void rejectedClaimLeavesTimeToTheOtherInstance() {
    ElectionPolicy policy = following();
    policy.recordVacancy();
    policy.recordJournalEnd(10, 1_000, 1_005);
    assertThat(policy.claimableEnd(1_005, 0)).hasValue(10);
    policy.recordLostClaim(1_020);
    policy.recordJournalEnd(11, 1_025, 1_030);
    assertThat(policy.claimableEnd(1_060, 0)).isEmpty();
    policy.recordJournalEnd(11, 1_500, 1_505);
    assertThat(policy.claimableEnd(1_700, 0)).as("claimable after the timeout").hasValue(11);
  }

  /**
   * Guards against waiting too long for a coordinator whose process has ended, and against
   * replacing one that still appends.
   */
  @Example
  void coordinatorWithRefusedConnectionIsReplacedSooner() {
    ElectionPolicy policy = following();
    policy.recordConnectionRefused();
    policy.recordJournalEnd(10, 1_000, 1_005);
    assertThat(policy.claimableEnd(1_200, 0)).as("the coordinator may still append").isEmpty();
    policy.recordJournalEnd(11, 1_200, 1_205);
    assertThat(policy.claimableEnd(1_300, 0)).as("the coordinator has appended").isEmpty();
    policy.recordJournalEnd(11, 1_460, 1_465);
    assertThat(policy.claimableEnd(1_470, 0)).hasValue(11);
  }
}
