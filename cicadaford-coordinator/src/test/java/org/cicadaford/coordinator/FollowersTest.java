package org.cicadaford.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.cicadaford.cell.CellConfig;
import org.cicadaford.cell.ClockReading;
import org.cicadaford.cell.ListedWorker;

/** Tests that repeated work continues after an unexpected error. */
class FollowersTest {

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private int rounds;

  private void advanceTime(long millis) {
    channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }

  /** Guards against an instance that stops checking for a coordinator. */
  @Example
  void repeatedTaskContinuesAfterAnError() {
    channel.freezeTime();
    RepeatedTask task =
        new RepeatedTask(
            "test",
            channel.eventLoop(),
            () -> {
              rounds++;
              throw new IllegalStateException("unexpected");
            },
            () -> 50);
    task.start();
    advanceTime(50);
    advanceTime(50);
    assertThat(rounds).isEqualTo(2);
    task.stop();
    advanceTime(500);
    assertThat(rounds).isEqualTo(2);
  }

  /** Guards against a configuration that stays at a version whose application failed. */
  @Example
  void configurationIsReadAgainAfterAnError() {
    channel.freezeTime();
    Deque<CompletableFuture<CellDirectory.PublishedConfig>> reads = new ArrayDeque<>();
    CellDirectory directory =
        new CellDirectory() {
          @Override
          public CompletableFuture<PublishedConfig> awaitConfigChange(long waitMillis) {
            CompletableFuture<PublishedConfig> read = new CompletableFuture<>();
            reads.add(read);
            return read;
          }

          @Override
          public CompletableFuture<List<ListedWorker>> listWorkers() {
            return CompletableFuture.completedFuture(List.of());
          }
        };
    CellMetrics metrics = new CellMetrics();
    ConfigHolder config = new ConfigHolder();
    ConfigFollower follower =
        new ConfigFollower(
            directory,
            config,
            channel.eventLoop(),
            () -> new ClockReading(rounds, rounds),
            new DecisionLog(metrics, () -> rounds),
            () -> {
              rounds++;
              throw new IllegalStateException("unexpected");
            });
    follower.start();
    reads.removeLast().complete(published(1));
    advanceTime(200);
    assertThat(reads).isNotEmpty();
    reads.removeLast().complete(published(2));
    advanceTime(200);
    assertThat(rounds).isEqualTo(2);
    assertThat(config.published().config().version()).isEqualTo(2);
  }

  /** Guards against reads that multiply while the store is down and exhaust the memory. */
  @Example
  void eachFailedReadIsRetriedOnce() {
    channel.freezeTime();
    CellDirectory directory =
        new CellDirectory() {
          @Override
          public CompletableFuture<PublishedConfig> awaitConfigChange(long waitMillis) {
            rounds++;
            return CompletableFuture.failedFuture(new IllegalStateException("down"));
          }

          @Override
          public CompletableFuture<List<ListedWorker>> listWorkers() {
            return CompletableFuture.completedFuture(List.of());
          }
        };
    ConfigFollower follower =
        new ConfigFollower(
            directory,
            new ConfigHolder(),
            channel.eventLoop(),
            () -> new ClockReading(rounds, rounds),
            new DecisionLog(new CellMetrics(), () -> rounds),
            () -> {});
    follower.start();
    for (int round = 0; round < 6; round++) {
      advanceTime(200);
    }
    assertThat(rounds).isEqualTo(7);
  }

  private static CellDirectory.PublishedConfig published(long version) {
    return new CellDirectory.PublishedConfig(
        new CellConfig(version, List.of(), List.of()), Set.of());
  }

  /** Guards against an instance that stops following coordinator announcements. */
  @Example
  void announcementsAreReadAgainAfterAnError() {
    channel.freezeTime();
    CellStore store =
        new UnusedCellStore() {
          @Override
          public CompletableFuture<Leadership> awaitLeadershipChange(long waitMillis) {
            return rounds < 3
                ? CompletableFuture.completedFuture(new Leadership(rounds, "e1", "a:1"))
                : new CompletableFuture<>();
          }
        };
    LeadershipFollower follower =
        new LeadershipFollower(
            store,
            channel.eventLoop(),
            leadership -> {
              rounds++;
              throw new IllegalStateException("unexpected");
            });
    follower.start();
    advanceTime(200);
    advanceTime(200);
    assertThat(rounds).isEqualTo(3);
  }
}
