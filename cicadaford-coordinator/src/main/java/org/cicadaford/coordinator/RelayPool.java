package org.cicadaford.coordinator;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cicadaford.wire.PeerMessage;

/** Instances that relay orders to workers. */
interface RelayPool {

  /**
   * Returns the instance through which orders to a worker go: one of the worker's zone, the same
   * one as long as it is there, so that each keeps connections to few workers.
   */
  Optional<String> relayFor(String workerId, String zone);

  /** Notes that a relay did not answer in time; it gets no orders for a while. */
  void suspect(String instanceId);

  /** Hands an order to an instance that relays it. */
  CompletableFuture<PeerMessage> relay(String instanceId, PeerMessage.OrderRequest order);
}
