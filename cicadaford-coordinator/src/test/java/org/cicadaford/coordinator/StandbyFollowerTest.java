package org.cicadaford.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.cicadaford.cell.ListedWorker;
import org.cicadaford.wire.PeerMessage;

/** Tests which instances follow the journal, as each read costs store calls. */
class StandbyFollowerTest {

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private int refreshCount;
  private int discardCount;
  private boolean storeDown;

  private StandbyFollower follower(boolean fit) {
    channel.freezeTime();
    CellStore store =
        new UnusedCellStore() {
          @Override
          public CompletableFuture<Void> refreshLocalCopy() {
            refreshCount++;
            return storeDown
                ? CompletableFuture.failedFuture(new IllegalStateException("down"))
                : CompletableFuture.completedFuture(null);
          }

          @Override
          public void discardLocalCopy() {
            discardCount++;
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
    return new StandbyFollower(store, directory, channel.eventLoop(), fit, new CellMetrics());
  }

  private void advanceTime(long millis) {
    channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }

  /** Guards against a standby with an outdated copy when it takes over. */
  @Example
  void standbyFollowsUntilAnotherIsDesignated() {
    StandbyFollower follower = follower(true);
    follower.start();
    assertThat(refreshCount).isEqualTo(1);
    advanceTime(1_000);
    assertThat(refreshCount).isEqualTo(1);
    follower.handleOfferAnswer(new PeerMessage.HelperAnswer(4, true));
    for (int round = 0; round < 4; round++) {
      advanceTime(200);
    }
    assertThat(refreshCount).isEqualTo(6);
    assertThat(follower.areOthersDesignated()).isFalse();
    follower.handleOfferAnswer(new PeerMessage.HelperAnswer(4, false));
    advanceTime(1_000);
    assertThat(refreshCount).isEqualTo(6);
    assertThat(discardCount).isEqualTo(1);
    assertThat(follower.areOthersDesignated()).isTrue();
  }

  /**
   * Guards against a standby whose read rate grows with each answer to its offers, when each answer
   * starts another sequence of reads. Such reads once made up half of all store calls.
   */
  @Example
  void offerAnswersDoNotIncreaseTheReadRate() {
    StandbyFollower follower = follower(true);
    follower.start();
    for (int answer = 0; answer < 50; answer++) {
      follower.handleOfferAnswer(new PeerMessage.HelperAnswer(4, true));
      for (int round = 0; round < 4; round++) {
        advanceTime(200);
      }
    }
    assertThat(refreshCount).isLessThanOrEqualTo(50 * 4 + 1);
  }

  /** Guards against a standby that stops following after one store failure. */
  @Example
  void refreshContinuesAfterAFailure() {
    StandbyFollower follower = follower(false);
    follower.start();
    assertThat(refreshCount).isZero();
    storeDown = true;
    follower.handleOfferAnswer(new PeerMessage.HelperAnswer(4, true));
    advanceTime(200);
    storeDown = false;
    advanceTime(200);
    assertThat(refreshCount).isEqualTo(3);
  }

  /**
   * Guards against discarding the copy because of an answer from an instance that is not the
   * coordinator.
   */
  @Example
  void answerOfANonCoordinatorIsIgnored() {
    StandbyFollower follower = follower(true);
    follower.handleOfferAnswer(new PeerMessage.HelperAnswer(4, true));
    follower.handleOfferAnswer(new PeerMessage.HelperAnswer(0, false));
    assertThat(discardCount).isZero();
    assertThat(follower.areOthersDesignated()).isFalse();
  }
}
