package org.cicadaford.entry.zone;

/**
 * What a daemon tells about its zone.
 *
 * @param zone availability zone
 * @param ownerInstanceId entry instance that owns the zone, or empty
 * @param owner whether this instance is the owner
 * @param epoch ownership epoch, or -1
 * @param appliedOffset offset of the last record of the zone's stream applied, or -1
 * @param requestsOffset offset before which all requests are reflected in the zone
 * @param confirmedAtMillis time at which the log last confirmed that all records were read
 * @param workerCount workers recorded in the zone
 * @param jobCount jobs kept
 * @param waitingJobCount jobs with waiting tasks
 * @param committedTaskCount tasks that capacity is committed to
 */
public record ZoneSummary(
    String zone,
    String ownerInstanceId,
    boolean owner,
    long epoch,
    long appliedOffset,
    long requestsOffset,
    long confirmedAtMillis,
    int workerCount,
    int jobCount,
    int waitingJobCount,
    int committedTaskCount) {

  /** Returns whether the zone's stream was read to its end once. */
  public boolean isRead() {
    return confirmedAtMillis > 0;
  }
}
