package org.cicadaford.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.cicadaford.cell.ClockReading;
import org.cicadaford.cell.ListedWorker;
import org.cicadaford.model.Resources;
import org.cicadaford.wire.PeerMessage;

/** Tests that the worker list is followed after any failure, and that failures are reported. */
class WorkerListFollowerTest {

  private static final String FAILED_READS = "cicadaford_cell_failed_reads_total";

  private final CellMetrics metrics = new CellMetrics();
  private final LogLines log = new LogLines(DependencyStatus.class);
  private final List<Integer> listed = new ArrayList<>();
  private long nowMillis = 1_000;
  private int reads;
  private Supplier<CompletableFuture<List<ListedWorker>>> answer = () -> workers(1);

  @AfterTry
  void stop() {
    log.close();
  }

  private static CompletableFuture<List<ListedWorker>> workers(int count) {
    ListedWorker worker =
        new ListedWorker("w", 1, "s", "w:1", "z", false, 0, Resources.NONE, Set.of(), "");
    return CompletableFuture.completedFuture(Collections.nCopies(count, worker));
  }

  private CellDirectory directory() {
    return new ObservedDirectory(
        new CellDirectory() {
          @Override
          public CompletableFuture<PublishedConfig> awaitConfigChange(long waitMillis) {
            return new CompletableFuture<>();
          }

          @Override
          public CompletableFuture<List<ListedWorker>> listWorkers() {
            reads++;
            return answer.get();
          }
        },
        metrics);
  }

  private ClockReading now() {
    return new ClockReading(nowMillis, nowMillis);
  }

  private void read(WorkerListFollower follower) {
    nowMillis += 300;
    follower.readIfDue(now());
  }

  /** Guards against a list that is silently no longer followed, and against a line a read. */
  @Example
  void failedReadsAreReportedAtTheChangeOfState() {
    WorkerListFollower follower =
        new WorkerListFollower(
            directory(),
            this::now,
            metrics,
            (workers, requestedAt, now) -> listed.add(workers.size()));
    read(follower);
    assertThat(log.lines()).isEmpty();
    answer = () -> CompletableFuture.failedFuture(new IllegalStateException("x".repeat(9_000)));
    for (int round = 0; round < 4; round++) {
      read(follower);
    }
    assertThat(log.lines()).hasSize(1);
    assertThat(log.lines().getFirst()).startsWith("worker list lost: ").hasSizeLessThan(400);
    assertThat(CellMetricsText.value(metrics, FAILED_READS)).isEqualTo(4);
    answer = () -> workers(2);
    read(follower);
    read(follower);
    assertThat(log.lines()).hasSize(2);
    assertThat(log.lines().getLast()).isEqualTo("worker list back");
    assertThat(listed).containsExactly(1, 2, 2);
  }

  /** Guards against a read that throws and leaves the follower waiting for its end for ever. */
  @Example
  void readThatThrowsIsRepeated() {
    WorkerListFollower follower =
        new WorkerListFollower(
            directory(),
            this::now,
            metrics,
            (workers, requestedAt, now) -> listed.add(workers.size()));
    answer =
        () -> {
          throw new IllegalStateException("unexpected");
        };
    read(follower);
    answer =
        () -> {
          throw new StackOverflowError();
        };
    read(follower);
    answer = () -> workers(3);
    read(follower);
    assertThat(listed).containsExactly(3);
    assertThat(log.lines()).hasSize(2);
  }

  /** Guards against a listing whose application fails and which is then the last one applied. */
  @Example
  void listingThatCannotBeAppliedIsFollowedByTheNext() {
    WorkerListFollower follower =
        new WorkerListFollower(
            directory(),
            this::now,
            metrics,
            (workers, requestedAt, now) -> {
              if (workers.size() == 2) {
                throw new IllegalStateException("unexpected");
              }
              if (workers.size() == 3) {
                throw new StackOverflowError();
              }
              listed.add(workers.size());
            });
    for (int count : List.of(1, 2, 3, 4)) {
      answer = () -> workers(count);
      read(follower);
    }
    assertThat(listed).containsExactly(1, 4);
    assertThat(log.lines()).hasSize(2);
    assertThat(log.lines().getFirst()).startsWith("use of the worker list lost: ");
  }

  /** Guards against a standby that stops following after a read that throws. */
  @Example
  void standbyFollowsAfterAReadThatThrows() {
    EmbeddedChannel channel = new EmbeddedChannel();
    channel.freezeTime();
    CellStore store =
        new UnusedCellStore() {
          @Override
          public CompletableFuture<Void> refreshLocalCopy() {
            throw new IllegalStateException("unexpected");
          }
        };
    StandbyFollower standby =
        new StandbyFollower(store, directory(), channel.eventLoop(), true, metrics);
    answer =
        () -> {
          throw new IllegalStateException("unexpected");
        };
    standby.start();
    standby.handleOfferAnswer(new PeerMessage.HelperAnswer(4, true));
    for (int round = 0; round < 10; round++) {
      channel.advanceTimeBy(200, TimeUnit.MILLISECONDS);
      channel.runScheduledPendingTasks();
    }
    assertThat(reads).isEqualTo(3);
    assertThat(log.lines())
        .hasSize(2)
        .anyMatch(line -> line.startsWith("worker list lost: "))
        .anyMatch(line -> line.startsWith("journal copy lost: "));
  }
}
