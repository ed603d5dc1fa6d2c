package org.cicadaford.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cicadaford.cell.Action;
import org.cicadaford.cell.FencingToken;
import org.cicadaford.cell.StartOutcome;
import org.cicadaford.cell.StopReason;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.wire.PeerMessage;

/** Tests that a relay rejects orders of a replaced coordinator. */
class OrderRelayTest {

  private static final Action.StartTask START =
      new Action.StartTask("w", "w:1", "job.0.0.0", 1, "payload", "", "", 5_000);

  private final List<Long> sentTokens = new ArrayList<>();
  private final OrderRelay relay =
      new OrderRelay(
          new WorkerClient() {
            @Override
            public CompletableFuture<StartAnswer> start(
                Action.StartTask order, FencingToken token) {
              sentTokens.add(token.value());
              return CompletableFuture.completedFuture(
                  new StartAnswer(StartOutcome.STARTED, 1, "200"));
            }

            @Override
            public CompletableFuture<Boolean> stop(Action.StopTask order, FencingToken token) {
              sentTokens.add(token.value());
              return CompletableFuture.completedFuture(true);
            }

            @Override
            public CompletableFuture<RenewalAnswer> renew(
                Action.Renew order, FencingToken token, long nowMillis) {
              sentTokens.add(token.value());
              return CompletableFuture.completedFuture(RenewalAnswer.of(RenewalOutcome.GONE));
            }
          });

  private static PeerMessage.OrderRequest request(String kind, long epoch, Action order) {
    return new PeerMessage.OrderRequest(kind, epoch, RecordCodec.encode(order), 0);
  }

  private <T> T answer(PeerMessage.OrderRequest request, Class<T> type)
      throws MalformedRecordException {
    PeerMessage.OrderAnswer answer = (PeerMessage.OrderAnswer) relay.handle(request).join();
    return RecordCodec.decode(answer.content(), type);
  }

  /** Guards against two coordinators that both send orders during a takeover. */
  @Example
  void ordersOfAnEarlierEpochAreRefused() throws Exception {
    assertThat(
            answer(request(OrderRelay.START, 5, START), WorkerClient.StartAnswer.class).outcome())
        .isEqualTo(StartOutcome.STARTED);
    relay.observeEpoch(7);
    assertThat(
            answer(request(OrderRelay.START, 5, START), WorkerClient.StartAnswer.class).outcome())
        .isEqualTo(StartOutcome.FENCED);
    Action.Renew renewal = new Action.Renew("w", 1, "w:1", 4, 9_000, 0, 600);
    assertThat(
            answer(request(OrderRelay.RENEW, 6, renewal), WorkerClient.RenewalAnswer.class)
                .outcome())
        .isEqualTo(WorkerClient.RenewalOutcome.FENCED);
    Action.StopTask stop = new Action.StopTask("w", "w:1", "t", 1, StopReason.STALLED);
    assertThat(answer(request(OrderRelay.STOP, 6, stop), Boolean.class)).isFalse();
    assertThat(answer(request(OrderRelay.STOP, 8, stop), Boolean.class)).isTrue();
    assertThat(sentTokens).containsExactly(5L, 8L);
  }

  /**
   * Guards against a relay that refuses the orders to all other workers once a worker has
   * restarted, or sends orders to the restarted one with the token of its earlier incarnation.
   */
  @Example
  void relaySendsTheTokenOfTheOrderAndComparesEpochs() {
    byte[] content = RecordCodec.encode(START);
    relay.handle(new PeerMessage.OrderRequest(OrderRelay.START, 5, content, 3));
    relay.handle(new PeerMessage.OrderRequest(OrderRelay.START, 5, content, 0));
    assertThat(sentTokens).containsExactly(8L, 5L);
  }

  /** Guards against a malformed order that ends the process or breaks the relay. */
  @Property(tries = 300, seed = "61")
  void malformedOrderDoesNotAffectLaterOrders(@ForAll long seed) {
    Random random = new Random(seed);
    byte[] content = RecordCodec.encode(START);
    for (int change = 0; change < 3; change++) {
      content[random.nextInt(content.length)] = (byte) random.nextInt(256);
    }
    byte[] cut = java.util.Arrays.copyOf(content, random.nextInt(content.length + 1));
    String kind = List.of(OrderRelay.START, OrderRelay.STOP, "other").get(random.nextInt(3));
    CompletableFuture<PeerMessage> answer =
        relay.handle(new PeerMessage.OrderRequest(kind, 3, cut, 0));
    assertThat(answer).isDone();
    assertThat(relay.handle(request(OrderRelay.START, 3, START))).isCompleted();
  }
}
