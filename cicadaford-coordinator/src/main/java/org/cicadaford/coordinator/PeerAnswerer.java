package org.cicadaford.coordinator;

import java.util.concurrent.CompletableFuture;
import org.cicadaford.wire.PeerMessage;

/** Answers the messages of other instances. */
final class PeerAnswerer {

  private final CoordinatorRole role;
  private final CoordinatorRequests requests;
  private final OrderRelay relay;
  private final AdviceClient advice;

  PeerAnswerer(
      CoordinatorRole role, CoordinatorRequests requests, OrderRelay relay, AdviceClient advice) {
    this.role = role;
    this.requests = requests;
    this.relay = relay;
    this.advice = advice;
  }

  /** Answers one message of {@code peer}. */
  CompletableFuture<PeerMessage> answer(PeerMessage.Hello peer, PeerMessage message) {
    return switch (message) {
      case PeerMessage.Heartbeat heartbeat -> {
        if (role.held()) {
          role.helpers().heard(peer.instanceId());
        }
        yield CompletableFuture.completedFuture(role.heartbeat());
      }
      case PeerMessage.HelperOffer offer ->
          CompletableFuture.completedFuture(answerOffer(peer, offer));
      case PeerMessage.OrderRequest request -> relay.carryOut(request);
      case PeerMessage.AdviceRequest request -> HelperPool.answer(advice, request);
      default -> answerRequest(peer.zone(), message);
    };
  }

  private PeerMessage answerOffer(PeerMessage.Hello peer, PeerMessage.HelperOffer offer) {
    if (!role.held()) {
      return new PeerMessage.HelperAnswer(0, false);
    }
    boolean standby = role.helpers().offered(offer, peer.zone());
    return new PeerMessage.HelperAnswer(role.service().epoch(), standby);
  }

  private CompletableFuture<PeerMessage> answerRequest(String zone, PeerMessage message) {
    if (!role.held()) {
      return CompletableFuture.completedFuture(
          CellReply.of(CellOutcome.NOT_COORDINATOR, "this instance is not the coordinator")
              .toMessage());
    }
    return requests.serve(role.service(), zone, message).thenApply(CellReply::toMessage);
  }
}
