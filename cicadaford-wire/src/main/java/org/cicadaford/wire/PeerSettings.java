package org.cicadaford.wire;

/**
 * Holds the settings of the peer protocol.
 *
 * @param maxFrameBytes size limit of a frame
 * @param heartbeatIntervalMillis interval between heartbeats
 * @param idleTimeoutMillis time without any received frame after which a connection is closed
 * @param connectTimeoutMillis time limit for establishing a connection
 * @param maxConnections limit on accepted connections
 */
public record PeerSettings(
    int maxFrameBytes,
    int heartbeatIntervalMillis,
    int idleTimeoutMillis,
    int connectTimeoutMillis,
    int maxConnections) {

  /** Default settings of entry daemons. */
  public static final PeerSettings DEFAULT = new PeerSettings(1 << 20, 500, 3_000, 1_000, 256);

  /** Returns a copy with another heartbeat interval. */
  public PeerSettings withHeartbeatInterval(int newHeartbeatIntervalMillis) {
    return new PeerSettings(
        maxFrameBytes,
        newHeartbeatIntervalMillis,
        idleTimeoutMillis,
        connectTimeoutMillis,
        maxConnections);
  }
}
