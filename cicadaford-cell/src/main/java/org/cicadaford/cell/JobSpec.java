package org.cicadaford.cell;

import java.util.List;

/**
 * Describes a job as its submitter sent it.
 *
 * @param payload text that is handed to each task unchanged
 * @param steps steps in the order in which they refer to each other
 * @param occurrenceCount number of times that the steps run at due times, or 0 to run once at once
 * @param firstDueMillis Unix time at which the first occurrence is due, in milliseconds
 * @param intervalMillis time between two occurrences in milliseconds
 */
public record JobSpec(
    String payload,
    List<StepSpec> steps,
    int occurrenceCount,
    long firstDueMillis,
    long intervalMillis) {

  /** Returns whether the job runs at due times. */
  public boolean timed() {
    return occurrenceCount > 0;
  }

  /** Returns the number of times that the steps run. */
  public int runCount() {
    return Math.max(1, occurrenceCount);
  }

  /** Returns the Unix time at which an occurrence is due, in milliseconds; 0 means at once. */
  public long dueMillis(int occurrence) {
    return timed() ? firstDueMillis + occurrence * intervalMillis : 0;
  }
}
