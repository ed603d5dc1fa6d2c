package org.cicadaford.entry.zone;

import org.cicadaford.decision.OwnerSettings;

/**
 * Holds the settings of the zone owner.
 *
 * @param zone availability zone
 * @param instanceId id of this entry instance
 * @param ownerSettings settings of the scheduling decisions
 * @param minBatchIntervalMillis minimum interval between batches
 * @param heartbeatMillis interval after which an empty batch is written
 * @param snapshotIntervalMillis interval between snapshots of the zone
 * @param maxChunkBytes size limit of a snapshot chunk
 * @param maxRequestsPerBatch limit on submissions and cancellations per batch
 */
public record ZoneOwnerSettings(
    String zone,
    String instanceId,
    OwnerSettings ownerSettings,
    long minBatchIntervalMillis,
    long heartbeatMillis,
    long snapshotIntervalMillis,
    int maxChunkBytes,
    int maxRequestsPerBatch) {

  /** Returns the default settings for an instance in {@code zone}. */
  public static ZoneOwnerSettings of(String zone, String instanceId, long snapshotIntervalMillis) {
    return new ZoneOwnerSettings(
        zone, instanceId, OwnerSettings.DEFAULT, 50, 1_500, snapshotIntervalMillis, 131_072, 256);
  }

  /** Returns the name of the zone's stream. */
  public String stream() {
    return "zone-" + zone;
  }
}
