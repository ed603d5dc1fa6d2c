package org.cicadaford.wire;

import java.util.concurrent.CompletableFuture;

/** Answers the messages of peers. Called on a network thread, so it must not block. */
@FunctionalInterface
public interface PeerHandler {

  /**
   * Returns the answer to a message, for example a {@link PeerMessage.Heartbeat} to a heartbeat.
   *
   * @param peer who sent it
   */
  CompletableFuture<PeerMessage> answer(PeerMessage.Hello peer, PeerMessage message);
}
