package org.cicadaford.cell;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.List;
import org.cicadaford.cell.occurrences.OccurrenceRanges;

/**
 * The mutable part of a job, as it is stored.
 *
 * @param queue name of its queue
 * @param team team that it is accounted to
 * @param phase phase of the job
 * @param endedAtMillis Unix time of its end in milliseconds, or 0
 * @param workers workers that its placements refer to
 * @param doneOccurrences occurrences that are done
 * @param occurrences occurrences that are in progress
 * @param begun whether a task has started. It is the last element of the array, so that versions
 *     without it skip it and this one reads false from their records.
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record JobProgress(
    String queue,
    String team,
    JobPhase phase,
    long endedAtMillis,
    List<WorkerKey> workers,
    OccurrenceRanges doneOccurrences,
    List<OccurrenceProgress> occurrences,
    boolean begun) {

  /** Returns the stored elements: without {@code begun}, as before it existed, if it is not set. */
  @JsonValue
  Object[] elements() {
    return begun
        ? new Object[] {
          queue, team, phase, endedAtMillis, workers, doneOccurrences, occurrences, begun
        }
        : new Object[] {queue, team, phase, endedAtMillis, workers, doneOccurrences, occurrences};
  }

  /**
   * An incarnation of a worker.
   *
   * <p>{@code equals} and {@code hashCode} are written out, because the generated ones are linked
   * through method handles on first use, which takes 25 to 50 ms of processor time after a
   * takeover.
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record WorkerKey(String id, long incarnation) {
    @Override
    public boolean equals(Object other) {
      return other instanceof WorkerKey that
          && incarnation == that.incarnation
          && id.equals(that.id);
    }

    @Override
    public int hashCode() {
      return 31 * Long.hashCode(incarnation) + id.hashCode();
    }
  }

  /** Progress of the tasks of all steps of an occurrence, in order. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record OccurrenceProgress(int occurrence, List<TaskProgress> tasks) {}

  /**
   * State of a task.
   *
   * @param workerIndex index of its worker in {@link JobProgress#workers}, or -1 if it is not
   *     placed
   * @param crashCount number of workers whose connections closed right after they started the task
   * @param startLossCount number of workers that may have been lost because they started the task
   * @param lastLostRun last run that is counted in these, or 0. The three are the last elements of
   *     the array, so that versions without them skip them and this one reads 0 from their records.
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record TaskProgress(
      boolean done,
      int lastRun,
      int failedCount,
      int workerIndex,
      String checkpoint,
      int crashCount,
      int startLossCount,
      int lastLostRun) {

    /** Returns the stored elements: without the counts, as before they existed, if none is set. */
    @JsonValue
    Object[] elements() {
      boolean counted = crashCount != 0 || startLossCount != 0 || lastLostRun != 0;
      return counted
          ? new Object[] {
            done,
            lastRun,
            failedCount,
            workerIndex,
            checkpoint,
            crashCount,
            startLossCount,
            lastLostRun
          }
          : new Object[] {done, lastRun, failedCount, workerIndex, checkpoint};
    }
  }
}
