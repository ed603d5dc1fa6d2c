package org.cicadaford.entry.zone;

import org.cicadaford.decision.OwnerSettings;

/**
 * Settings of the zone owner.
 *
 * @param zone availability zone
 * @param instanceId this entry instance
 * @param ownerSettings times that the owner works by
 * @param minBatchIntervalMillis least time between two batches
 * @param heartbeatMillis time after which an empty batch is written
 * @param snapshotIntervalMillis time between two snapshots of the zone
 * @param maxChunkBytes largest content of one snapshot chunk
 * @param maxRequestsPerBatch most submissions and cancellations taken over at once
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

  /** Returns the settings of the design for an instance in {@code zone}. */
  public static ZoneOwnerSettings of(String zone, String instanceId, long snapshotIntervalMillis) {
    return new ZoneOwnerSettings(
        zone, instanceId, OwnerSettings.DEFAULT, 50, 1_500, snapshotIntervalMillis, 131_072, 256);
  }

  /** Returns the name of the zone's stream. */
  public String stream() {
    return "zone-" + zone;
  }
}
