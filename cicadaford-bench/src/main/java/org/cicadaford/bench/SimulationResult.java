package org.cicadaford.bench;

import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What one simulated run measured after its warm-up.
 *
 * @param variant name of the settings
 * @param waitingByClass waiting time from submission to the first start by class of work, in
 *     milliseconds; work that never started counts with the time until the end of the run
 * @param packing mean part of the processors committed while work waited
 * @param jainIndex Jain's index of the teams' dominant shares by weight, among teams with a backlog
 * @param workCoreSeconds work of tasks that ended, in core seconds
 * @param lateParts part of the tasks with a deadline that ended late or not at all
 * @param stops tasks stopped to make room
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

  /** Returns a percentile of the waiting time of a class in milliseconds, or NaN without work. */
  public double waitingMillis(String workClass, double percentile) {
    Histogram histogram = waitingByClass.get(workClass);
    return histogram == null || histogram.getTotalCount() == 0
        ? Double.NaN
        : histogram.getValueAtPercentile(percentile);
  }
}
