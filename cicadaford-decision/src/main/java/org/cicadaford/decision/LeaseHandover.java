package org.cicadaford.decision;

import java.util.Map;

/**
 * What an owner that has stopped acting tells the next one, so that it need not wait for the outage
 * grace.
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
