package org.cicadaford.entry;

/**
 * Holds the settings of an entry instance.
 *
 * @param zone availability zone
 * @param rack rack of this instance
 * @param instanceId unique id of this instance, never reused
 * @param logRetentionMillis retention time of log records
 * @param zoneSnapshotIntervalMillis interval between snapshots of the zone
 * @param pollMillis long-poll timeout of log reads
 * @param readBackTimeoutMillis time after which the outcome of an append that was not read back is
 *     reported as unknown
 * @param maxRequestsInProgress limit on concurrent requests; more are refused
 * @param stopTimeoutMillis time that requests in progress have to finish when this instance stops
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
