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
 * @param processorCores processor time that the instance has, in cores
 * @param linkMegabits bandwidth of its link, in megabits a second
 * @param keyFreshnessMillis age of the configuration from which keys are no longer accepted
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
    long keyFreshnessMillis) {

  /** Part of the bound on withdrawn keys for which keys are accepted without a confirmation. */
  private static final double KEY_FRESHNESS_PART = 0.75;

  /** Processor time from which an instance is fit to be the coordinator, in cores. */
  private static final double FIT_CORES = 0.7;

  /**
   * Bandwidth from which an instance is fit to be the coordinator, in megabits a second. Loading 3
   * MB of records then takes half a second.
   */
  private static final double FIT_MEGABITS = 50;

  /** Time in which a worker answers an order, in milliseconds; most answer within 5 ms. */
  public static final long ORDER_TIMEOUT_MILLIS = 300;

  /** Time in which the store answers a call, in milliseconds. A slow store takes 60 x 4 ms. */
  public static final long STORE_CALL_TIMEOUT_MILLIS = 900;

  /** Settings of the links between instances; silence is noticed within half a lease. */
  static final PeerSettings PEERS = new PeerSettings(1 << 20, 150, 1_500, 700, 512);

  /** Settings of the coordinator's links to advisers; a lost one only costs a repeated call. */
  static final PeerSettings ADVISERS = new PeerSettings(1 << 20, 1_000, 4_000, 700, 512);

  /** Returns whether this instance has the resources of a coordinator. */
  boolean fit() {
    return processorCores >= FIT_CORES && linkMegabits >= FIT_MEGABITS;
  }

  /**
   * Returns the age of the configuration up to which keys are accepted, for a bound on the use of a
   * withdrawn key.
   */
  public static long keyFreshnessMillis(long revokeMillis) {
    return (long) (revokeMillis * KEY_FRESHNESS_PART);
  }

  /** Returns the address of the peer port, {@code ip:port}. */
  public String peerAddress() {
    return peerHost + ":" + peerPort;
  }
}
