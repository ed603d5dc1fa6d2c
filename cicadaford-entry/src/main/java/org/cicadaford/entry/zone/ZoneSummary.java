package org.cicadaford.entry.zone;

/**
 * Summarizes the state of a zone as seen by a daemon.
 *
 * @param zone availability zone
 * @param ownerInstanceId id of the entry instance that owns the zone, or empty
 * @param owner whether this instance is the owner
 * @param epoch ownership epoch, or -1
 * @param appliedOffset offset of the last record of the zone's stream applied, or -1
 * @param requestsOffset offset in the requests stream before which all requests were processed
 * @param confirmedAtMillis time at which the log last confirmed that all records were read
 * @param workerCount number of workers recorded in the zone
 * @param jobCount number of retained jobs
 * @param waitingJobCount number of jobs with waiting tasks
 * @param committedTaskCount number of tasks with committed capacity
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

  /** Returns whether the zone's stream was read to its end at least once. */
  public boolean isRead() {
    return confirmedAtMillis > 0;
  }
}
