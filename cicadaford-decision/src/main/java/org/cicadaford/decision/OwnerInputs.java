package org.cicadaford.decision;

import java.util.List;
import org.cicadaford.model.RequestRecord;

/**
 * Holds the inputs of an owner's decision, except the workers' reports, which the owner keeps
 * itself.
 *
 * @param zone state of the zone
 * @param config current configuration
 * @param configConfirmedAtMillis time at which the log last confirmed that this configuration is
 *     current
 * @param lastValidBatchAtMillis owner's clock at its last batch that was read back as valid, or at
 *     its claim; the outage grace period starts here
 * @param listedWorkers workers that the platform's list shows in the zone
 * @param newRequests accepted submissions and cancellations from {@code zone.requestsOffset()} on
 * @param nextRequestsOffset offset after the last of them
 */
public record OwnerInputs(
    ZoneState zone,
    ConfigState config,
    long configConfirmedAtMillis,
    long lastValidBatchAtMillis,
    List<ListedWorker> listedWorkers,
    List<RequestRecord> newRequests,
    long nextRequestsOffset) {

  OwnerInputs withListedWorkers(List<ListedWorker> workers) {
    return new OwnerInputs(
        zone,
        config,
        configConfirmedAtMillis,
        lastValidBatchAtMillis,
        workers,
        newRequests,
        nextRequestsOffset);
  }
}
