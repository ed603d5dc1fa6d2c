package org.cicadaford.entry;

/**
 * Settings of the entry library.
 *
 * @param zone availability zone
 * @param rack rack that this instance is in
 * @param instanceId id of this instance, never used again
 * @param logRetentionMillis time for which the log keeps records
 * @param zoneSnapshotIntervalMillis time between two snapshots of the zone
 * @param pollMillis time for which the log may hold back an empty answer
 * @param readBackTimeoutMillis time after which a record that was not read back counts as unknown
 * @param maxRequestsInProgress requests beyond this number are refused
 * @param stopTimeoutMillis time that requests in progress get to finish when this instance stops
 */
public record EntrySettings(
    String zone,
    String rack,
    String instanceId,
    long logRetentionMillis,
    long zoneSnapshotIntervalMillis,
    long pollMillis,
    long readBackTimeoutMillis,
    int maxRequestsInProgress,
    long stopTimeoutMillis) {}
