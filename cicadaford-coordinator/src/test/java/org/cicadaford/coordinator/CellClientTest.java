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

/** Tests what callers are told while the coordinator changes. */
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

  private void pass(long millis) {
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

  /** Guards against a request that is held until its deadline though nobody can serve it. */
  @Example
  void requestWithoutCoordinatorIsRefusedSoon() {
    routes.add(() -> null);
    CompletableFuture<CellReply> result = send();
    pass(400);
    assertThat(result.join().outcome()).isEqualTo(CellOutcome.REFUSED);
    assertThat(result.join().retryAfterMillis()).isPositive();
  }

  /**
   * Guards against callers that are sent away for a second though another coordinator is there in a
   * moment, as on trouble-3 of the large site, and against waiting longer than a takeover takes.
   */
  @Example
  void requestWaitsForACoordinatorThatIsExpected() {
    takeoverExpected = true;
    routes.add(() -> null);
    CompletableFuture<CellReply> result = send();
    pass(600);
    assertThat(result).isNotDone();
    routes.add(reply(CellOutcome.DONE));
    routes.poll();
    pass(100);
    assertThat(result.join().outcome()).isEqualTo(CellOutcome.DONE);
    routes.clear();
    routes.add(() -> null);
    CompletableFuture<CellReply> late = send();
    pass(1_100);
    assertThat(late.join().outcome()).isEqualTo(CellOutcome.REFUSED);
  }

  /** Guards against "not run" being said of a request that may have been done. */
  @Example
  void requestThatMayBeDoneIsNotRefused() {
    routes.add(reply(CellOutcome.UNKNOWN));
    routes.add(reply(CellOutcome.REFUSED));
    CompletableFuture<CellReply> result = send();
    pass(1_400);
    assertThat(result).isNotDone();
    pass(TIMEOUT_MILLIS);
    assertThat(result.join().outcome()).isEqualTo(CellOutcome.UNKNOWN);
  }

  /**
   * Guards against a request that is held until its deadline while the store is down (incident 2):
   * its caller had no time left to ask again.
   */
  @Example
  void storeThatIsDownIsToldWhileTheCallerCanAskAgain() {
    routes.add(CompletableFuture::new);
    CompletableFuture<CellReply> result = send();
    pass(1_900);
    assertThat(result.join().outcome()).isEqualTo(CellOutcome.UNKNOWN);
  }

  /** Guards against an answer that is lost with the coordinator that was replaced. */
  @Example
  void lostRequestIsAskedAgainOfTheNextCoordinator() {
    routes.add(reply(CellOutcome.UNKNOWN));
    routes.add(reply(CellOutcome.NOT_COORDINATOR));
    routes.add(reply(CellOutcome.DONE));
    CompletableFuture<CellReply> result = send();
    pass(400);
    assertThat(result.join().outcome()).isEqualTo(CellOutcome.DONE);
  }

  /** Guards against a request that waits for ever on a connection that has gone silent. */
  @Example
  void silentAttemptIsGivenUp() {
    routes.add(CompletableFuture::new);
    routes.add(reply(CellOutcome.DONE));
    CompletableFuture<CellReply> result = send();
    pass(1_500);
    assertThat(result.join().outcome()).isEqualTo(CellOutcome.DONE);
  }

  /**
   * Guards against a request that is held until its deadline in a zone that is cut off: its caller
   * then had no time left to ask another instance.
   */
  @Example
  void requestOfUnknownOutcomeIsAnsweredWhileItsCallerCanAskElsewhere() {
    routes.add(reply(CellOutcome.UNKNOWN));
    routes.add(() -> null);
    CompletableFuture<CellReply> result = send();
    pass(1_400);
    assertThat(result).as("a takeover may still bring the answer").isNotDone();
    pass(400);
    assertThat(result.join().outcome()).isEqualTo(CellOutcome.UNKNOWN);
  }
}
