package org.cicadaford.coordinator;

import java.util.concurrent.CompletableFuture;
import org.cicadaford.cell.Action;
import org.cicadaford.cell.FencingToken;
import org.cicadaford.cell.StartOutcome;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.wire.PeerMessage;

/**
 * Relays the coordinator's orders from this instance to workers.
 *
 * <p>It rejects orders of epochs below the highest one it has seen, so that orders of a replaced
 * coordinator are stopped even if the workers do not check epochs. Fencing tokens are not compared
 * here, as they differ between workers.
 */
final class OrderRelay {

  /** Kinds of orders in messages between instances. */
  static final String START = "start";

  static final String STOP = "stop";
  static final String RENEW = "renew";

  private final WorkerClient workers;
  private long highestEpoch;

  OrderRelay(WorkerClient workers) {
    this.workers = workers;
  }

  /** Records the epoch of a coordinator. */
  void observeEpoch(long epoch) {
    highestEpoch = Math.max(highestEpoch, epoch);
  }

  /** Relays an order and returns the worker's answer. */
  CompletableFuture<PeerMessage> handle(PeerMessage.OrderRequest request) {
    boolean fenced = request.epoch() < highestEpoch;
    observeEpoch(request.epoch());
    FencingToken token = new FencingToken(request.epoch(), request.tokenOffset());
    try {
      CompletableFuture<?> answer =
          switch (request.order()) {
            case START -> {
              Action.StartTask order = decode(request, Action.StartTask.class);
              yield fenced ? completed(fencedStartAnswer()) : workers.start(order, token);
            }
            case STOP -> {
              Action.StopTask order = decode(request, Action.StopTask.class);
              yield fenced ? completed(false) : workers.stop(order, token);
            }
            case RENEW -> {
              Action.Renew order = decode(request, Action.Renew.class);
              yield fenced
                  ? completed(WorkerClient.RenewalAnswer.of(WorkerClient.RenewalOutcome.FENCED))
                  : workers.renew(order, token, 0);
            }
            default -> CompletableFuture.failedFuture(unknownKind(request));
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

  private static <T> CompletableFuture<T> completed(T value) {
    return CompletableFuture.completedFuture(value);
  }

  private static WorkerClient.StartAnswer fencedStartAnswer() {
    return new WorkerClient.StartAnswer(
        StartOutcome.FENCED, 0, "a coordinator with a higher epoch is known");
  }

  private static IllegalArgumentException unknownKind(PeerMessage.OrderRequest request) {
    return new IllegalArgumentException(
        "unsupported order kind " + request.order() + "; run compatible releases on all instances");
  }
}
