package org.cicadaford.coordinator;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.cell.Action;
import org.cicadaford.cell.StartOutcome;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.wire.PeerMessage;

/**
 * Sends orders through an instance of the worker's zone, and itself where that does not answer.
 *
 * <p>Connections to workers and their reports are the part of the coordinator's load that grows
 * with the cell, so the other instances carry it. An order that a relay has not answered in time is
 * sent directly as well: workers take a start, a stop or a renewal twice without harm, and the
 * first answer counts, but for a second start that was rejected. So a relay that is killed, frozen
 * or cut off costs its orders a tenth of a second.
 */
final class RelayedOrders implements WorkerClient {

  private static final Logger LOGGER = LogManager.getLogger(RelayedOrders.class);

  /**
   * Time after which an order that a relay has not answered is sent directly, in milliseconds. It
   * leaves the direct order 40 ms before a worker counts as silent; most answers take 5 ms.
   */
  private static final long HEDGE_MILLIS = 80;

  /**
   * Size of the cell from which orders are relayed, in workers. A relayed order costs processor
   * time on two instances; below this the coordinator sends all orders in a tenth of a core.
   */
  private static final int RELAYED_FROM_WORKERS = 100;

  /**
   * Time after its beginning in which a coordinator leaves renewals to relays that have not offered
   * themselves yet, in milliseconds. Connections to 260 workers took it 110 ms of a takeover.
   */
  private static final long RELAY_OFFERS_MILLIS = 80;

  /** Time between two looks for a relay that is expected, in milliseconds. */
  private static final long RELAY_POLL_MILLIS = 10;

  private final WorkerClient direct;
  private final RelayPool relays;
  private final Function<String, Optional<String>> zoneOf;
  private final IntSupplier workerCount;
  private final ScheduledExecutorService loop;
  private final LongSupplier nowMillis;
  private final long begunAtMillis;
  private final CellMetrics metrics;

  /**
   * Creates the sender.
   *
   * @param zoneOf returns the availability zone of a worker, if it is known
   * @param workerCount returns the number of workers of the cell
   */
  RelayedOrders(
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
    this.begunAtMillis = nowMillis.getAsLong();
    this.metrics = metrics;
  }

  @Override
  public CompletableFuture<StartAnswer> start(Action.StartTask order, long epoch) {
    Supplier<CompletableFuture<StartAnswer>> directly = () -> direct.start(order, epoch);
    return relayFor(order.workerId())
        .map(
            relay ->
                relay(
                    relay,
                    new Relayed(OrderRelay.START, epoch, order),
                    StartAnswer.class,
                    HEDGE_MILLIS,
                    () -> directly.get().thenApply(RelayedOrders::ofSecondStart)))
        .orElseGet(directly);
  }

  /**
   * Returns what is known after a start that was sent twice. The second order may be rejected, for
   * example since its ticket has ended, although the first one was carried out.
   */
  private static StartAnswer ofSecondStart(StartAnswer second) {
    return second.outcome() == StartOutcome.STARTED
        ? second
        : new StartAnswer(StartOutcome.UNKNOWN, second.clockMillis(), second.detail());
  }

  @Override
  public CompletableFuture<Boolean> stop(Action.StopTask order, long epoch) {
    Supplier<CompletableFuture<Boolean>> directly = () -> direct.stop(order, epoch);
    return relayFor(order.workerId())
        .map(
            relay ->
                relay(
                    relay,
                    new Relayed(OrderRelay.STOP, epoch, order),
                    Boolean.class,
                    HEDGE_MILLIS,
                    directly))
        .orElseGet(directly);
  }

  @Override
  public CompletableFuture<RenewalAnswer> renew(Action.Renew order, long epoch, long nowMillis) {
    if (relayIsExpected(order.workerId())) {
      CompletableFuture<RenewalAnswer> answer = new CompletableFuture<>();
      loop.schedule(
          () -> renew(order, epoch, nowMillis).thenAccept(answer::complete),
          RELAY_POLL_MILLIS,
          TimeUnit.MILLISECONDS);
      return answer;
    }
    return relayFor(order.workerId())
        .map(
            relay ->
                relay(
                        relay,
                        new Relayed(OrderRelay.RENEW, epoch, order),
                        RenewalAnswer.class,
                        order.waitMillis() + HEDGE_MILLIS,
                        () -> direct.renew(order.withoutWait(), epoch, nowMillis))
                    .thenApply(answer -> answer.sentAt(nowMillis)))
        .orElseGet(() -> direct.renew(order, epoch, nowMillis));
  }

  /** Returns whether no relay has offered itself to this new coordinator yet, but will soon. */
  private boolean relayIsExpected(String workerId) {
    return nowMillis.getAsLong() - begunAtMillis < RELAY_OFFERS_MILLIS
        && workerCount.getAsInt() >= RELAYED_FROM_WORKERS
        && findRelay(workerId).isEmpty();
  }

  private Optional<String> findRelay(String workerId) {
    return zoneOf.apply(workerId).flatMap(zone -> relays.relayFor(workerId, zone));
  }

  private Optional<String> relayFor(String workerId) {
    Optional<String> relay =
        workerCount.getAsInt() >= RELAYED_FROM_WORKERS ? findRelay(workerId) : Optional.empty();
    metrics.orderSent(relay.isPresent() ? "relayed" : "direct");
    return relay;
  }

  /** An order as it is handed to a relay. */
  private record Relayed(String kind, long epoch, Action order) {
    private PeerMessage.OrderRequest request() {
      return new PeerMessage.OrderRequest(kind, epoch, RecordCodec.encode(order));
    }
  }

  private <T> CompletableFuture<T> relay(
      String relay,
      Relayed relayed,
      Class<T> answerType,
      long hedgeMillis,
      Supplier<CompletableFuture<T>> directly) {
    Hedged<T> hedged = new Hedged<>(relay, directly);
    hedged.timer = loop.schedule(hedged::late, hedgeMillis, TimeUnit.MILLISECONDS);
    relays
        .relay(relay, relayed.request())
        .whenCompleteAsync(
            (answer, failure) -> hedged.relayAnswered(answer, failure, answerType), loop);
    return hedged.result;
  }

  /** An order that was handed to a relay and may be sent directly as well. */
  private final class Hedged<T> {

    private final String relay;
    private final Supplier<CompletableFuture<T>> directly;
    private final CompletableFuture<T> result = new CompletableFuture<>();
    private ScheduledFuture<?> timer;
    private boolean sentDirectly;

    private Hedged(String relay, Supplier<CompletableFuture<T>> directly) {
      this.relay = relay;
      this.directly = directly;
    }

    private void late() {
      if (!result.isDone()) {
        LOGGER.debug("relay {} has not answered in time", relay);
        relays.suspect(relay);
        sendDirectly();
      }
    }

    private void relayAnswered(PeerMessage answer, Throwable failure, Class<T> answerType) {
      if (result.isDone()) {
        return;
      }
      try {
        if (answer instanceof PeerMessage.OrderAnswer orderAnswer) {
          timer.cancel(false);
          result.complete(RecordCodec.decode(orderAnswer.content(), answerType));
          return;
        }
      } catch (MalformedRecordException e) {
        LOGGER.warn("relay {} gave an answer that cannot be read", relay, e);
      }
      LOGGER.debug("relay {} gave no answer: {}", relay, answer, failure);
      relays.suspect(relay);
      sendDirectly();
    }

    private void sendDirectly() {
      if (sentDirectly) {
        return;
      }
      sentDirectly = true;
      timer.cancel(false);
      metrics.orderSent("hedged");
      directly
          .get()
          .whenComplete(
              (answer, failure) -> {
                if (failure == null) {
                  result.complete(answer);
                } else {
                  result.completeExceptionally(failure);
                }
              });
    }
  }
}
