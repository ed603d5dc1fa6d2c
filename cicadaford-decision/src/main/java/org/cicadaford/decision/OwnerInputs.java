package org.cicadaford.decision;

import java.util.List;
import org.cicadaford.model.RequestRecord;

/**
 * What an owner decides from, besides its own memory of workers' reports.
 *
 * @param zone state of the zone
 * @param config configuration in force
 * @param configConfirmedAtMillis time at which the log last confirmed that this configuration is
 *     the newest one
 * @param ownBatchAtMillis clock of the owner's last batch that was read back as valid, or of its
 *     claim; the outage grace counts from here
 * @param listedWorkers workers that the platform's list shows in the zone
 * @param newRequests accepted submissions and cancellations from {@code zone.requestsOffset()} on
 * @param nextRequestsOffset offset behind the last of them
 */
public record OwnerInputs(
    ZoneState zone,
    ConfigState config,
    long configConfirmedAtMillis,
    long ownBatchAtMillis,
    List<ListedWorker> listedWorkers,
    List<RequestRecord> newRequests,
    long nextRequestsOffset) {

  OwnerInputs withListedWorkers(List<ListedWorker> workers) {
    return new OwnerInputs(
        zone,
        config,
        configConfirmedAtMillis,
        ownBatchAtMillis,
        workers,
        newRequests,
        nextRequestsOffset);
  }
}
