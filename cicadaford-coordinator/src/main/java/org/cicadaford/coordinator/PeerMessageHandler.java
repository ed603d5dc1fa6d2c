package org.cicadaford.coordinator;

import java.util.concurrent.CompletableFuture;
import org.cicadaford.wire.PeerMessage;

/** Handles the messages of other instances. */
final class PeerMessageHandler {

  private final CoordinatorRole role;
  private final CoordinatorRequestHandler requests;
  private final OrderRelay relay;
  private final AdviceClient advice;

  PeerMessageHandler(
      CoordinatorRole role,
      CoordinatorRequestHandler requests,
      OrderRelay relay,
      AdviceClient advice) {
    this.role = role;
    this.requests = requests;
    this.relay = relay;
    this.advice = advice;
  }

  /** Handles a message of {@code peer} and returns the answer. */
  CompletableFuture<PeerMessage> handle(PeerMessage.Hello peer, PeerMessage message) {
    return switch (message) {
      case PeerMessage.Heartbeat heartbeat -> {
        if (role.isHeld()) {
          role.helpers().recordHeartbeat(peer.instanceId());
        }
        yield CompletableFuture.completedFuture(role.heartbeat());
      }
      case PeerMessage.HelperOffer offer ->
          CompletableFuture.completedFuture(answerOffer(peer, offer));
      case PeerMessage.OrderRequest request -> relay.handle(request);
      case PeerMessage.AdviceRequest request -> HelperPool.answerAdviceRequest(advice, request);
      default -> answerRequest(peer.zone(), message);
    };
  }

  private PeerMessage answerOffer(PeerMessage.Hello peer, PeerMessage.HelperOffer offer) {
    if (!role.isHeld()) {
      return new PeerMessage.HelperAnswer(0, false);
    }
    boolean standby = role.helpers().registerOffer(offer, peer.zone());
    return new PeerMessage.HelperAnswer(role.service().epoch(), standby);
  }

  private CompletableFuture<PeerMessage> answerRequest(String zone, PeerMessage message) {
    if (!role.isHeld()) {
      return CompletableFuture.completedFuture(
          CellReply.of(CellOutcome.NOT_COORDINATOR, "this instance is not the coordinator")
              .toMessage());
    }
    return requests.handle(role.service(), zone, message).thenApply(CellReply::toMessage);
  }
}
