package org.cicadaford.wire;

/**
 * Holds one message of the peer protocol with its header.
 *
 * @param version protocol version
 * @param messageId id that matches an answer to its request, unique per connection
 * @param answer whether this frame answers the request with the same id
 * @param message content of the frame
 */
record PeerFrame(int version, long messageId, boolean answer, PeerMessage message) {

  /** Protocol version that this code implements. */
  static final int VERSION = 1;
}
