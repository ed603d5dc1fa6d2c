package org.cicadaford.cell;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * The answer of a worker to a renewal.
 *
 * @param workerId id of the worker
 * @param incarnation incarnation that answered
 * @param clockMillis clock of the worker in milliseconds
 * @param sentAtMillis time at which the renewal was sent
 * @param running runs on the worker
 * @param ended run ends that are not acknowledged yet, in ascending order
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

  /** Returns a copy of this report as the answer to a renewal sent at another time. */
  public WorkerReport sentAt(long newSentAtMillis) {
    return new WorkerReport(
        workerId, incarnation, clockMillis, newSentAtMillis, running, ended, complete);
  }
}
