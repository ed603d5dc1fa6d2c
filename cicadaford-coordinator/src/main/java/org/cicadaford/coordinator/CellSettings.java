package org.cicadaford.coordinator;

import org.cicadaford.cell.DeploymentBounds;
import org.cicadaford.wire.PeerSettings;

/**
 * Holds the settings of an instance of a cell.
 *
 * @param instanceId id of the instance
 * @param zone availability zone of the instance
 * @param peerHost IP address of the peer port
 * @param peerPort port for other instances
 * @param maxLeaseMillis longest lease of a worker, in milliseconds
 * @param keepEndedMillis retention of ended jobs, in milliseconds
 * @param processorCores processor capacity of the instance, in cores
 * @param linkMegabits network bandwidth of the instance, in megabits per second
 * @param keyFreshnessMillis age of the configuration above which keys are rejected, in milliseconds
 * @param bounds bounds that the platform states for the deployment
 */
public record CellSettings(
    String instanceId,
    String zone,
    String peerHost,
    int peerPort,
    long maxLeaseMillis,
    long keepEndedMillis,
    double processorCores,
    double linkMegabits,
    long keyFreshnessMillis,
    DeploymentBounds bounds) {

  /**
   * Fraction of the key revocation time for which keys are accepted without a confirmation of the
   * configuration.
   */
  private static final double KEY_FRESHNESS_FRACTION = 0.75;

  /** Minimum processor capacity of a coordinator, in cores. */
  private static final double MIN_COORDINATOR_CORES = 0.7;

  /**
   * Minimum network bandwidth of a coordinator, in megabits per second. Loading 3 MB of records
   * then takes half a second.
   */
  private static final double MIN_COORDINATOR_MEGABITS = 50;

  /** Timeout of an order to a worker, in milliseconds; most workers answer within 5 ms. */
  public static final long ORDER_TIMEOUT_MILLIS = 300;

  /**
   * Timeout of a call to the store, in milliseconds. A slow store takes 60 times its usual 4 ms.
   */
  public static final long STORE_CALL_TIMEOUT_MILLIS = 900;

  /** Settings of the links between instances; a silent peer is detected within half a lease. */
  static final PeerSettings PEER_LINK_SETTINGS = new PeerSettings(1 << 20, 150, 1_500, 700, 512);

  /** Settings of the coordinator's links to helpers; a lost link only costs a retry. */
  static final PeerSettings HELPER_LINK_SETTINGS =
      new PeerSettings(1 << 20, 1_000, 4_000, 700, 512);

  /** Returns whether this instance has the resources of a coordinator. */
  boolean hasCoordinatorResources() {
    return processorCores >= MIN_COORDINATOR_CORES && linkMegabits >= MIN_COORDINATOR_MEGABITS;
  }

  /**
   * Returns the age of the configuration up to which keys are accepted, in milliseconds.
   *
   * @param revokeMillis time after which a withdrawn key must be rejected, in milliseconds
   */
  public static long keyFreshnessMillis(long revokeMillis) {
    return (long) (revokeMillis * KEY_FRESHNESS_FRACTION);
  }

  /** Returns the address of the peer port, {@code ip:port}. */
  public String peerAddress() {
    return peerHost + ":" + peerPort;
  }
}
