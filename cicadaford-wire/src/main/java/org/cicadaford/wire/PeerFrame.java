package org.cicadaford.wire;

/**
 * A frame of the peer protocol.
 *
 * @param version version of the protocol
 * @param messageId id by which an answer is matched to its request, unique on a connection
 * @param answer whether this frame answers the one with the same id
 * @param message content
 */
record PeerFrame(int version, long messageId, boolean answer, PeerMessage message) {

  /** Version that this code speaks. */
  static final int VERSION = 1;
}
