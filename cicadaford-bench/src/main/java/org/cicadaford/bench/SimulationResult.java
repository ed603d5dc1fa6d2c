package org.cicadaford.bench;

import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Holds the measurements of a simulated run after its warm-up.
 *
 * @param variant name of the settings
 * @param waitingByClass waiting time from submission to the first start by class of work, in
 *     milliseconds; unstarted work counts with its waiting time until the end of the run
 * @param packing mean fraction of the processors that was committed while work waited
 * @param jainIndex Jain's index of the teams' dominant shares by weight, among teams with a backlog
 * @param workCoreSeconds work of completed tasks, in core seconds
 * @param lateParts fraction of the tasks with a deadline that missed it
 * @param stops number of preempted tasks
 * @param placements number of placements
 * @param decideSeconds processor time of all decisions
 * @param decisionMicros processor time of each decision, in microseconds
 */
public record SimulationResult(
    String variant,
    Map<String, Histogram> waitingByClass,
    double packing,
    double jainIndex,
    double workCoreSeconds,
    double lateParts,
    long stops,
    long placements,
    double decideSeconds,
    Histogram decisionMicros) {

  /** Returns placements per second of decision time. */
  public double placementsPerSecond() {
    return placements / Math.max(1e-9, decideSeconds);
  }

  /**
   * Returns a percentile of the waiting time of a class in milliseconds, or NaN if the class has no
   * work.
   */
  public double waitingMillis(String workClass, double percentile) {
    Histogram histogram = waitingByClass.get(workClass);
    return histogram == null || histogram.getTotalCount() == 0
        ? Double.NaN
        : histogram.getValueAtPercentile(percentile);
  }
}
