package org.cicadaford.decision;

import java.util.Map;

/**
 * Carries the lease bounds that an owner that stopped sends to the next owner, which then need not
 * wait for the outage grace period.
 *
 * @param epoch ownership epoch of the owner that stopped
 * @param leaseUntilMillisByWorker end of the last lease on each worker that this owner or an
 *     earlier one may have granted; a worker that is not listed has none
 */
public record LeaseHandover(long epoch, Map<String, Long> leaseUntilMillisByWorker) {

  /** Copies the ends of leases. */
  public LeaseHandover {
    leaseUntilMillisByWorker = Map.copyOf(leaseUntilMillisByWorker);
  }
}
