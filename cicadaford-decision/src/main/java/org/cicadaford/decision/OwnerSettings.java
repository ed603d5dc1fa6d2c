package org.cicadaford.decision;

/**
 * Configures the lease and outage timing of a zone's owner, in milliseconds.
 *
 * @param leaseMillis length of a renewed lease
 * @param renewIntervalMillis interval between renewals of a worker's leases
 * @param firstLeaseMillis length of a start's lease, counted from the confirmation of the
 *     configuration
 * @param configFreshMillis maximum age of that confirmation at which a start is sent
 * @param clockDriftMillis maximum clock difference between any two instances
 * @param serviceOutageGraceMillis time after its last valid batch for which an owner renews the
 *     leases of services
 * @param batchOutageGraceMillis the same for batch and gang jobs
 */
public record OwnerSettings(
    long leaseMillis,
    long renewIntervalMillis,
    long firstLeaseMillis,
    long configFreshMillis,
    long clockDriftMillis,
    long serviceOutageGraceMillis,
    long batchOutageGraceMillis) {

  /** Default settings. */
  public static final OwnerSettings DEFAULT =
      new OwnerSettings(15_000, 5_000, 3_000, 2_000, 500, 5_400_000, 600_000);
}
