package org.cicadaford.cell;

import java.util.List;

/**
 * Describes a job as submitted.
 *
 * @param payload text that is passed to each task unchanged
 * @param steps steps; they refer to each other by index
 * @param occurrenceCount number of scheduled occurrences, or 0 to run once immediately
 * @param firstDueMillis Unix time at which the first occurrence is due, in milliseconds
 * @param intervalMillis time between two occurrences in milliseconds
 */
public record JobSpec(
    String payload,
    List<StepSpec> steps,
    int occurrenceCount,
    long firstDueMillis,
    long intervalMillis) {

  /** Returns whether the job runs at scheduled times. */
  public boolean recurring() {
    return occurrenceCount > 0;
  }

  /** Returns the number of times that the steps run. */
  public int runCount() {
    return Math.max(1, occurrenceCount);
  }

  /** Returns the Unix time at which an occurrence is due, in milliseconds; 0 means immediately. */
  public long dueMillis(int occurrence) {
    return recurring() ? firstDueMillis + occurrence * intervalMillis : 0;
  }
}
