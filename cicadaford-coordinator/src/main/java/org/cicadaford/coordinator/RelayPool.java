package org.cicadaford.coordinator;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cicadaford.wire.PeerMessage;

/** Selects the instances that relay orders to workers. */
interface RelayPool {

  /**
   * Returns the instance that relays orders to a worker. It is in the worker's zone and stays the
   * same while it is available, so that each relay is connected to few workers.
   */
  Optional<String> selectRelay(String workerId, String zone);

  /** Excludes a relay that did not answer in time from receiving orders for a while. */
  void markUnresponsive(String instanceId);

  /** Sends an order to the instance that relays it. */
  CompletableFuture<PeerMessage> relay(String instanceId, PeerMessage.OrderRequest order);
}
