package org.cicadaford.cell.learning;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Completed runs of one step with the median of their durations.
 *
 * <p>Designed for steps of up to 5,000 tasks whose runs in progress are compared with the median at
 * each report: the median is kept as runs are added, at logarithmic cost for each of them.
 */
public final class TimedRuns {

  private final List<StepComparison.Run> runs = new ArrayList<>();

  /** The shorter half of the durations, the longest one first. */
  private final PriorityQueue<Long> shorterMillis =
      new PriorityQueue<>(Comparator.<Long>reverseOrder());

  /** The longer half of the durations, one more if their number is odd, the shortest one first. */
  private final PriorityQueue<Long> longerMillis = new PriorityQueue<>();

  /** Adds a completed run. */
  public void add(StepComparison.Run run) {
    runs.add(run);
    longerMillis.add(run.durationMillis());
    shorterMillis.add(longerMillis.remove());
    if (shorterMillis.size() > longerMillis.size()) {
      longerMillis.add(shorterMillis.remove());
    }
  }

  /** Returns the completed runs in the order in which they were added. */
  List<StepComparison.Run> runs() {
    return runs;
  }

  /** Returns the number of completed runs. */
  public int count() {
    return runs.size();
  }

  /**
   * Returns whether runs in progress can be compared with the median.
   *
   * @param taskCount number of completed and running tasks; half of them must be completed
   */
  public boolean suffice(int taskCount) {
    return runs.size() >= 2 && 2 * runs.size() >= taskCount;
  }

  /** Returns the median of the durations in milliseconds, of an even number the larger one. */
  long medianMillis() {
    return longerMillis.element();
  }

  /** Removes all runs. */
  public void clear() {
    runs.clear();
    shorterMillis.clear();
    longerMillis.clear();
  }
}
