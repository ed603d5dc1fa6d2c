package org.cicadaford.coordinator;

import java.util.concurrent.CompletableFuture;
import org.cicadaford.cell.Action;
import org.cicadaford.cell.StartOutcome;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.wire.PeerMessage;

/**
 * Sends the coordinator's orders to workers from this instance.
 *
 * <p>It follows the highest epoch that it has heard of, like a worker that checks epochs, so that
 * orders of an earlier coordinator end here even where the workers do not check them.
 */
final class OrderRelay {

  /** Kinds of orders, as they are named between instances. */
  static final String START = "start";

  static final String STOP = "stop";
  static final String RENEW = "renew";

  private final WorkerClient orders;
  private long highestEpoch;

  OrderRelay(WorkerClient orders) {
    this.orders = orders;
  }

  /** Notes that a coordinator of this epoch is there. */
  void epochSeen(long epoch) {
    highestEpoch = Math.max(highestEpoch, epoch);
  }

  /** Sends an order; the answer is the worker's. */
  CompletableFuture<PeerMessage> carryOut(PeerMessage.OrderRequest request) {
    boolean fenced = request.epoch() < highestEpoch;
    epochSeen(request.epoch());
    try {
      CompletableFuture<?> answer =
          switch (request.order()) {
            case START -> {
              Action.StartTask order = decode(request, Action.StartTask.class);
              yield fenced ? done(fencedStart()) : orders.start(order, request.epoch());
            }
            case STOP -> {
              Action.StopTask order = decode(request, Action.StopTask.class);
              yield fenced ? done(false) : orders.stop(order, request.epoch());
            }
            case RENEW -> {
              Action.Renew order = decode(request, Action.Renew.class);
              yield fenced
                  ? done(WorkerClient.RenewalAnswer.of(WorkerClient.RenewalOutcome.FENCED))
                  : orders.renew(order, request.epoch(), 0);
            }
            default -> CompletableFuture.failedFuture(unknown(request));
          };
      return answer.thenApply(value -> new PeerMessage.OrderAnswer(RecordCodec.encode(value)));
    } catch (MalformedRecordException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private static <T> T decode(PeerMessage.OrderRequest request, Class<T> type)
      throws MalformedRecordException {
    return RecordCodec.decode(request.content(), type);
  }

  private static <T> CompletableFuture<T> done(T value) {
    return CompletableFuture.completedFuture(value);
  }

  private static WorkerClient.StartAnswer fencedStart() {
    return new WorkerClient.StartAnswer(StartOutcome.FENCED, 0, "a later epoch is known here");
  }

  private static IllegalArgumentException unknown(PeerMessage.OrderRequest request) {
    return new IllegalArgumentException(
        "unknown kind of order " + request.order() + "; run compatible releases");
  }
}
