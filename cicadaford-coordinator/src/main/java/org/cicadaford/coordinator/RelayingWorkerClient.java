package org.cicadaford.coordinator;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.cell.Action;
import org.cicadaford.cell.FencingToken;
import org.cicadaford.cell.StartOutcome;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.wire.PeerMessage;

/**
 * Sends orders to workers through relays in the workers' zones, with direct sending as a fallback.
 *
 * <p>Connections to workers and their reports are the part of the coordinator's load that grows
 * with the cell, so it is spread over the other instances. An order that a relay has not answered
 * in time is also sent directly. Workers handle duplicate starts, stops and renewals safely, and
 * the first answer counts, unless it rejects one of two starts. A relay that is killed, frozen or
 * partitioned thus delays its orders by about 0.1 s.
 */
final class RelayingWorkerClient implements WorkerClient {

  private static final Logger LOGGER = LogManager.getLogger(RelayingWorkerClient.class);

  /**
   * Time after which an unanswered relayed order is also sent directly, in milliseconds. It leaves
   * 40 ms for the direct order before the worker counts as silent; most answers take 5 ms.
   */
  private static final long HEDGE_DELAY_MILLIS = 80;

  /**
   * Minimum number of workers for relaying. A relayed order costs processor time on two instances;
   * in a smaller cell the coordinator sends all orders with a tenth of a core.
   */
  private static final int MIN_RELAYED_WORKER_COUNT = 100;

  /**
   * Time for which a new coordinator delays renewals until relays offer themselves, in
   * milliseconds. Connecting to 260 workers itself would add 110 ms to a takeover.
   */
  private static final long RELAY_OFFER_WAIT_MILLIS = 80;

  /** Interval between checks for an expected relay, in milliseconds. */
  private static final long RELAY_POLL_INTERVAL_MILLIS = 10;

  private final WorkerClient direct;
  private final RelayPool relays;
  private final Function<String, Optional<String>> zoneOf;
  private final IntSupplier workerCount;
  private final ScheduledExecutorService loop;
  private final LongSupplier nowMillis;
  private final long createdAtMillis;
  private final CellMetrics metrics;

  /**
   * Creates the client.
   *
   * @param zoneOf returns the availability zone of a worker, if known
   * @param workerCount returns the number of workers in the cell
   */
  RelayingWorkerClient(
      WorkerClient direct,
      RelayPool relays,
      Function<String, Optional<String>> zoneOf,
      IntSupplier workerCount,
      ScheduledExecutorService loop,
      LongSupplier nowMillis,
      CellMetrics metrics) {
    this.direct = direct;
    this.relays = relays;
    this.zoneOf = zoneOf;
    this.workerCount = workerCount;
    this.loop = loop;
    this.nowMillis = nowMillis;
    this.createdAtMillis = nowMillis.getAsLong();
    this.metrics = metrics;
  }

  @Override
  public CompletableFuture<StartAnswer> start(Action.StartTask order, FencingToken token) {
    Supplier<CompletableFuture<StartAnswer>> sendDirect = () -> direct.start(order, token);
    return chooseRelay(order.workerId())
        .map(
            relay ->
                relay(
                    relay,
                    new RelayedOrder<>(
                        OrderRelay.START,
                        token,
                        order,
                        StartAnswer.class,
                        RelayedAnswers::isUsable,
                        answer -> answer.outcome() == StartOutcome.FENCED),
                    HEDGE_DELAY_MILLIS,
                    sendDirect,
                    RelayingWorkerClient::resolveDuplicateStart))
        .orElseGet(sendDirect);
  }

  /**
   * Returns the outcome of a start that was sent twice, from the first answer to either order. One
   * order may be rejected, for example because its ticket has expired, although the other one is
   * executed.
   */
  private static StartAnswer resolveDuplicateStart(StartAnswer answer) {
    return answer.outcome() == StartOutcome.STARTED
        ? answer
        : new StartAnswer(
            StartOutcome.UNKNOWN, answer.clockMillis(), "sent twice, " + answer.detail());
  }

  @Override
  public CompletableFuture<Boolean> stop(Action.StopTask order, FencingToken token) {
    Supplier<CompletableFuture<Boolean>> sendDirect = () -> direct.stop(order, token);
    return chooseRelay(order.workerId())
        .map(
            relay ->
                relay(
                    relay,
                    new RelayedOrder<>(
                        OrderRelay.STOP,
                        token,
                        order,
                        Boolean.class,
                        confirmed -> true,
                        confirmed -> !confirmed),
                    HEDGE_DELAY_MILLIS,
                    sendDirect,
                    UnaryOperator.identity()))
        .orElseGet(sendDirect);
  }

  @Override
  public CompletableFuture<RenewalAnswer> renew(
      Action.Renew order, FencingToken token, long nowMillis) {
    if (isRelayExpected(order.workerId())) {
      CompletableFuture<RenewalAnswer> answer = new CompletableFuture<>();
      loop.schedule(
          () -> renew(order, token, nowMillis).thenAccept(answer::complete),
          RELAY_POLL_INTERVAL_MILLIS,
          TimeUnit.MILLISECONDS);
      return answer;
    }
    return chooseRelay(order.workerId())
        .map(
            relay ->
                relay(
                        relay,
                        new RelayedOrder<>(
                            OrderRelay.RENEW,
                            token,
                            order,
                            RenewalAnswer.class,
                            answer -> RelayedAnswers.isUsable(answer, order.workerId()),
                            answer -> answer.outcome() == RenewalOutcome.FENCED),
                        order.waitMillis() + HEDGE_DELAY_MILLIS,
                        () -> direct.renew(order.withoutWait(), token, nowMillis),
                        UnaryOperator.identity())
                    .thenApply(answer -> answer.sentAt(nowMillis)))
        .orElseGet(() -> direct.renew(order, token, nowMillis));
  }

  /** Returns whether this new coordinator is still waiting for a relay's first offer. */
  private boolean isRelayExpected(String workerId) {
    return nowMillis.getAsLong() - createdAtMillis < RELAY_OFFER_WAIT_MILLIS
        && workerCount.getAsInt() >= MIN_RELAYED_WORKER_COUNT
        && findRelay(workerId).isEmpty();
  }

  private Optional<String> findRelay(String workerId) {
    return zoneOf.apply(workerId).flatMap(zone -> relays.selectRelay(workerId, zone));
  }

  private Optional<String> chooseRelay(String workerId) {
    Optional<String> relay =
        workerCount.getAsInt() >= MIN_RELAYED_WORKER_COUNT ? findRelay(workerId) : Optional.empty();
    metrics.recordOrderSent(relay.isPresent() ? "relayed" : "direct");
    return relay;
  }

  /**
   * Holds an order to be relayed.
   *
   * @param usable whether an answer has values that a relay may send
   * @param refused whether an answer may be the refusal of a lower fencing token
   */
  private record RelayedOrder<T>(
      String kind,
      FencingToken token,
      Action order,
      Class<T> answerType,
      Predicate<T> usable,
      Predicate<T> refused) {

    /**
     * Returns whether the worker may have refused a token that the relay has put in the place of
     * this one: a relay of an earlier build sends the epoch, which is lower.
     */
    private boolean refusedOtherToken(T answer) {
      return token.offset() > 0 && refused.test(answer);
    }

    private PeerMessage.OrderRequest request() {
      return new PeerMessage.OrderRequest(
          kind, token.epoch(), RecordCodec.encode(order), token.offset());
    }
  }

  private <T> CompletableFuture<T> relay(
      String relay,
      RelayedOrder<T> relayed,
      long hedgeDelayMillis,
      Supplier<CompletableFuture<T>> sendDirect,
      UnaryOperator<T> resolveDuplicate) {
    HedgedOrder<T> hedged = new HedgedOrder<>(relay, relayed, sendDirect, resolveDuplicate);
    hedged.timer = loop.schedule(hedged::onTimeout, hedgeDelayMillis, TimeUnit.MILLISECONDS);
    relays
        .relay(relay, relayed.request())
        .whenCompleteAsync((answer, failure) -> hedged.handleRelayAnswer(answer, failure), loop);
    return hedged.result;
  }

  /** Tracks an order that was sent to a relay and may also be sent directly. */
  private final class HedgedOrder<T> {

    private final String relay;
    private final RelayedOrder<T> relayed;
    private final Supplier<CompletableFuture<T>> sendDirect;
    private final UnaryOperator<T> resolveDuplicate;
    private final CompletableFuture<T> result = new CompletableFuture<>();
    private ScheduledFuture<?> timer;
    private boolean sentDirect;

    private HedgedOrder(
        String relay,
        RelayedOrder<T> relayed,
        Supplier<CompletableFuture<T>> sendDirect,
        UnaryOperator<T> resolveDuplicate) {
      this.relay = relay;
      this.relayed = relayed;
      this.sendDirect = sendDirect;
      this.resolveDuplicate = resolveDuplicate;
    }

    private void complete(T answer) {
      result.complete(sentDirect ? resolveDuplicate.apply(answer) : answer);
    }

    private void onTimeout() {
      if (!result.isDone()) {
        LOGGER.debug("relay {} did not answer in time", relay);
        relays.markUnresponsive(relay);
        sendDirectOnce();
      }
    }

    private void handleRelayAnswer(PeerMessage answer, Throwable failure) {
      if (result.isDone()) {
        return;
      }
      if (answer instanceof PeerMessage.OrderAnswer orderAnswer && orderAnswer.content() != null) {
        try {
          T decoded = RecordCodec.decode(orderAnswer.content(), relayed.answerType());
          if (relayed.usable().test(decoded)) {
            if (relayed.refusedOtherToken(decoded)) {
              sendDirectOnce();
            } else {
              timer.cancel(false);
              complete(decoded);
            }
            return;
          }
        } catch (MalformedRecordException e) {
          LOGGER.debug("cannot decode the answer of relay {}", relay, e);
        }
      }
      LOGGER.debug("no usable answer from relay {}: {}", relay, answer, failure);
      relays.markUnresponsive(relay);
      sendDirectOnce();
    }

    private void sendDirectOnce() {
      if (sentDirect) {
        return;
      }
      sentDirect = true;
      timer.cancel(false);
      metrics.recordOrderSent("hedged");
      sendDirect
          .get()
          .whenComplete(
              (answer, failure) -> {
                if (failure == null) {
                  complete(answer);
                } else {
                  result.completeExceptionally(failure);
                }
              });
    }
  }
}
