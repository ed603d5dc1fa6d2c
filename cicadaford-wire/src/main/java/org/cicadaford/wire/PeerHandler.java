package org.cicadaford.wire;

import java.util.concurrent.CompletableFuture;

/** Answers messages from peers. Called on a network thread, so it must not block. */
@FunctionalInterface
public interface PeerHandler {

  /**
   * Returns the answer to a message, for example a {@link PeerMessage.Heartbeat} to a heartbeat.
   *
   * @param peer hello of the sender
   */
  CompletableFuture<PeerMessage> answer(PeerMessage.Hello peer, PeerMessage message);
}
