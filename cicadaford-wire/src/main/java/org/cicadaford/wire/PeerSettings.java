package org.cicadaford.wire;

/**
 * Settings of the peer protocol.
 *
 * @param maxFrameBytes largest frame, in bytes
 * @param heartbeatMillis time between two heartbeats
 * @param silenceMillis time without any frame after which a connection is given up
 * @param connectTimeoutMillis time in which a connection must be made
 * @param maxConnections largest number of accepted connections
 */
public record PeerSettings(
    int maxFrameBytes,
    int heartbeatMillis,
    int silenceMillis,
    int connectTimeoutMillis,
    int maxConnections) {

  /** Settings of the design. */
  public static final PeerSettings DEFAULT = new PeerSettings(1 << 20, 500, 3_000, 1_000, 256);

  /** Returns the same settings with another time between heartbeats. */
  public PeerSettings withHeartbeat(int newHeartbeatMillis) {
    return new PeerSettings(
        maxFrameBytes, newHeartbeatMillis, silenceMillis, connectTimeoutMillis, maxConnections);
  }
}
