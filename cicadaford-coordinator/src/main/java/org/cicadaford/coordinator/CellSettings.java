package org.cicadaford.coordinator;

import org.cicadaford.wire.PeerSettings;

/**
 * Settings of an instance of a cell.
 *
 * @param instanceId id of the instance
 * @param zone its availability zone
 * @param peerHost IP address of its peer port
 * @param peerPort port for other instances
 * @param maxLeaseMillis longest lease of a worker, in milliseconds
 * @param keepEndedMillis time for which ended jobs are kept, in milliseconds
 * @param keyFreshnessMillis age of the configuration from which keys are no longer accepted
 */
public record CellSettings(
    String instanceId,
    String zone,
    String peerHost,
    int peerPort,
    long maxLeaseMillis,
    long keepEndedMillis,
    long keyFreshnessMillis) {

  /** Settings of the links between instances; silence is noticed within half a lease. */
  static final PeerSettings PEERS = new PeerSettings(1 << 20, 150, 1_500, 700, 512);

  /** Settings of the coordinator's links to advisers; a lost one only costs a repeated call. */
  static final PeerSettings ADVISERS = new PeerSettings(1 << 20, 1_000, 4_000, 700, 512);

  /** Returns the address of the peer port, {@code ip:port}. */
  public String peerAddress() {
    return peerHost + ":" + peerPort;
  }
}
