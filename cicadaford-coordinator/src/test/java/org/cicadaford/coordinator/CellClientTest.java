package org.cicadaford.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import net.jqwik.api.Example;
import org.cicadaford.wire.PeerMessage;

/** Tests the replies to callers while the coordinator changes. */
class CellClientTest {

  private static final PeerMessage REQUEST = new PeerMessage.PendingCountRequest("q");
  private static final long TIMEOUT_MILLIS = 2_900;

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final Deque<Supplier<CompletableFuture<CellReply>>> routes = new ArrayDeque<>();
  private boolean takeoverExpected;
  private long nowMillis;

  private CompletableFuture<CellReply> send() {
    channel.freezeTime();
    CellClient client =
        new CellClient(
            message -> routes.size() > 1 ? routes.poll().get() : routes.peek().get(),
            () -> takeoverExpected,
            channel.eventLoop(),
            () -> nowMillis);
    return client.send(REQUEST, TIMEOUT_MILLIS);
  }

  private void advanceTime(long millis) {
    for (long step = 0; step < millis; step += 10) {
      nowMillis += 10;
      channel.advanceTimeBy(10, TimeUnit.MILLISECONDS);
      channel.runScheduledPendingTasks();
      channel.runPendingTasks();
    }
  }

  private static Supplier<CompletableFuture<CellReply>> reply(CellOutcome outcome) {
    return () -> CompletableFuture.completedFuture(CellReply.of(outcome, "test"));
  }

  /** Guards against holding a request until its deadline when no coordinator is available. */
  @Example
  void requestWithoutCoordinatorIsRefusedEarly() {
    routes.add(() -> null);
    CompletableFuture<CellReply> result = send();
    advanceTime(400);
    assertThat(result.join().outcome()).isEqualTo(CellOutcome.REFUSED);
    assertThat(result.join().retryAfterMillis()).isPositive();
  }

  /**
   * Guards against refusing callers just before an expected coordinator takes over, and against
   * waiting longer than a takeover takes.
   */
  @Example
  void requestWaitsForExpectedCoordinator() {
    takeoverExpected = true;
    routes.add(() -> null);
    CompletableFuture<CellReply> result = send();
    advanceTime(600);
    assertThat(result).isNotDone();
    routes.add(reply(CellOutcome.DONE));
    routes.poll();
    advanceTime(100);
    assertThat(result.join().outcome()).isEqualTo(CellOutcome.DONE);
    routes.clear();
    routes.add(() -> null);
    CompletableFuture<CellReply> late = send();
    advanceTime(1_100);
    assertThat(late.join().outcome()).isEqualTo(CellOutcome.REFUSED);
  }

  /** Guards against refusing a request that may have been executed. */
  @Example
  void requestThatMayHaveBeenExecutedIsNotRefused() {
    routes.add(reply(CellOutcome.UNKNOWN));
    routes.add(reply(CellOutcome.REFUSED));
    CompletableFuture<CellReply> result = send();
    advanceTime(1_400);
    assertThat(result).isNotDone();
    advanceTime(TIMEOUT_MILLIS);
    assertThat(result.join().outcome()).isEqualTo(CellOutcome.UNKNOWN);
  }

  /**
   * Guards against holding a request until its deadline while the store is down, which left its
   * caller no time to retry.
   */
  @Example
  void storeOutageIsReportedWhileCallerCanRetry() {
    routes.add(CompletableFuture::new);
    CompletableFuture<CellReply> result = send();
    advanceTime(1_900);
    assertThat(result.join().outcome()).isEqualTo(CellOutcome.UNKNOWN);
  }

  /** Guards against losing a request when the coordinator is replaced before it answers. */
  @Example
  void lostRequestIsRetriedOnTheNextCoordinator() {
    routes.add(reply(CellOutcome.UNKNOWN));
    routes.add(reply(CellOutcome.NOT_COORDINATOR));
    routes.add(reply(CellOutcome.DONE));
    CompletableFuture<CellReply> result = send();
    advanceTime(400);
    assertThat(result.join().outcome()).isEqualTo(CellOutcome.DONE);
  }

  /** Guards against waiting indefinitely on a connection that no longer answers. */
  @Example
  void unansweredAttemptTimesOut() {
    routes.add(CompletableFuture::new);
    routes.add(reply(CellOutcome.DONE));
    CompletableFuture<CellReply> result = send();
    advanceTime(1_500);
    assertThat(result.join().outcome()).isEqualTo(CellOutcome.DONE);
  }

  /**
   * Guards against holding a request until its deadline in a partitioned zone, which left its
   * caller no time to ask another instance.
   */
  @Example
  void unknownOutcomeIsReportedWhileCallerCanAskElsewhere() {
    routes.add(reply(CellOutcome.UNKNOWN));
    routes.add(() -> null);
    CompletableFuture<CellReply> result = send();
    advanceTime(1_400);
    assertThat(result).as("a takeover may still complete").isNotDone();
    advanceTime(400);
    assertThat(result.join().outcome()).isEqualTo(CellOutcome.UNKNOWN);
  }
}
