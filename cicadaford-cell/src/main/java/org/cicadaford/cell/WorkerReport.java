package org.cicadaford.cell;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * A worker's answer to a renewal.
 *
 * @param workerId id of the worker
 * @param incarnation incarnation that answered
 * @param clockMillis the worker's own clock in milliseconds
 * @param sentAtMillis time at which the renewal was sent
 * @param running runs that are present
 * @param ended ends that were not yet acknowledged, in ascending order
 * @param complete whether {@code ended} holds all such ends
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record WorkerReport(
    String workerId,
    long incarnation,
    long clockMillis,
    long sentAtMillis,
    List<ReportedRun> running,
    List<ReportedEnd> ended,
    boolean complete) {

  /** Returns the same report, as the answer to a renewal that was sent at another time. */
  public WorkerReport sentAt(long newSentAtMillis) {
    return new WorkerReport(
        workerId, incarnation, clockMillis, newSentAtMillis, running, ended, complete);
  }
}
