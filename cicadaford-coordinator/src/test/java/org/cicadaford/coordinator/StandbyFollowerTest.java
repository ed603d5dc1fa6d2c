package org.cicadaford.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.cicadaford.cell.ListedWorker;
import org.cicadaford.wire.PeerMessage;

/** Tests which instances follow the journal, as each reading is paid for. */
class StandbyFollowerTest {

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private int followCount;
  private int forgetCount;
  private boolean storeDown;

  private StandbyFollower follower(boolean fit) {
    channel.freezeTime();
    CellStore store =
        new UnusedCellStore() {
          @Override
          public CompletableFuture<Void> refreshLocalCopy() {
            followCount++;
            return storeDown
                ? CompletableFuture.failedFuture(new IllegalStateException("down"))
                : CompletableFuture.completedFuture(null);
          }

          @Override
          public void discardLocalCopy() {
            forgetCount++;
          }
        };
    CellDirectory directory =
        new CellDirectory() {
          @Override
          public CompletableFuture<PublishedConfig> awaitConfigChange(long waitMillis) {
            return new CompletableFuture<>();
          }

          @Override
          public CompletableFuture<List<ListedWorker>> listWorkers() {
            return CompletableFuture.completedFuture(List.of());
          }
        };
    return new StandbyFollower(store, directory, channel.eventLoop(), fit);
  }

  private void pass(long millis) {
    channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }

  /** Guards against a standby whose copy is old when it has to take over. */
  @Example
  void standbyFollowsUntilAnotherIsNamed() {
    StandbyFollower follower = follower(true);
    follower.start();
    assertThat(followCount).isEqualTo(1);
    pass(1_000);
    assertThat(followCount).isEqualTo(1);
    follower.designated(new PeerMessage.HelperAnswer(4, true));
    for (int round = 0; round < 4; round++) {
      pass(200);
    }
    assertThat(followCount).isEqualTo(6);
    assertThat(follower.othersDesignated()).isFalse();
    follower.designated(new PeerMessage.HelperAnswer(4, false));
    pass(1_000);
    assertThat(followCount).isEqualTo(6);
    assertThat(forgetCount).isEqualTo(1);
    assertThat(follower.othersDesignated()).isTrue();
  }

  /**
   * Guards against a standby that reads the journal more often with each answer to its offers of
   * help: each one between two readings began further readings. On scale-1 of retorno-sul half of
   * all calls of the store were such readings.
   */
  @Example
  void eachAnswerLeavesTheRateOfReadingsAsItIs() {
    StandbyFollower follower = follower(true);
    follower.start();
    for (int answer = 0; answer < 50; answer++) {
      follower.designated(new PeerMessage.HelperAnswer(4, true));
      for (int round = 0; round < 4; round++) {
        pass(200);
      }
    }
    assertThat(followCount).isLessThanOrEqualTo(50 * 4 + 1);
  }

  /** Guards against a standby that stops following for good when the store was down once. */
  @Example
  void followingGoesOnAfterAFailure() {
    StandbyFollower follower = follower(false);
    follower.start();
    assertThat(followCount).isZero();
    storeDown = true;
    follower.designated(new PeerMessage.HelperAnswer(4, true));
    pass(200);
    storeDown = false;
    pass(200);
    assertThat(followCount).isEqualTo(3);
  }

  /**
   * Guards against an instance that gives up its copy since it asked one that is no coordinator.
   */
  @Example
  void answerOfAnInstanceWithoutTheRoleChangesNothing() {
    StandbyFollower follower = follower(true);
    follower.designated(new PeerMessage.HelperAnswer(4, true));
    follower.designated(new PeerMessage.HelperAnswer(0, false));
    assertThat(forgetCount).isZero();
    assertThat(follower.othersDesignated()).isFalse();
  }
}
