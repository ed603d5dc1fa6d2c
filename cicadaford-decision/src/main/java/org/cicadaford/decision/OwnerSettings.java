package org.cicadaford.decision;

/**
 * Times that a zone's owner works by, in milliseconds.
 *
 * @param leaseMillis length of a renewed lease
 * @param renewIntervalMillis time between two renewals of a worker's leases
 * @param firstLeaseMillis end of the lease of a start, counted from the confirmation of the
 *     configuration
 * @param configFreshMillis age of that confirmation up to which a start is sent
 * @param clockDriftMillis bound on the difference between the clocks of any two instances
 * @param serviceOutageGraceMillis time after its last valid batch for which an owner renews the
 *     leases of services
 * @param batchOutageGraceMillis the same for batch runs and gang jobs
 */
public record OwnerSettings(
    long leaseMillis,
    long renewIntervalMillis,
    long firstLeaseMillis,
    long configFreshMillis,
    long clockDriftMillis,
    long serviceOutageGraceMillis,
    long batchOutageGraceMillis) {

  /** Settings of the design. */
  public static final OwnerSettings DEFAULT =
      new OwnerSettings(15_000, 5_000, 3_000, 2_000, 500, 5_400_000, 600_000);
}
