package org.cicadaford.decision;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.HdrHistogram.IntCountsHistogram;
import org.cicadaford.model.Resources;

/**
 * Estimates the resource usage of tasks by the name of their description, from usage reports.
 *
 * <p>Each quantity is recorded in two histograms; the older one is dropped when the newer one is
 * full, so that estimates follow changes in the workload. Not thread-safe.
 */
public final class UsageEstimator {

  private static final int MAX_DESCRIPTIONS = 1_000;
  private static final int REPORTS_PER_HISTOGRAM = 1_000;
  private static final double USAGE_PERCENTILE = 95;
  private static final double RUN_TIME_PERCENTILE = 50;

  private final Map<String, Samples> samplesByName =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Samples> eldest) {
          return size() > MAX_DESCRIPTIONS;
        }
      };

  private static final class Samples {
    private final RollingHistogram processors = new RollingHistogram();
    private final RollingHistogram memory = new RollingHistogram();
    private final RollingHistogram runs = new RollingHistogram();
  }

  private static final class RollingHistogram {
    private IntCountsHistogram current = new IntCountsHistogram(1);
    private IntCountsHistogram previous = new IntCountsHistogram(1);

    void add(long value) {
      if (current.getTotalCount() >= REPORTS_PER_HISTOGRAM) {
        previous = current;
        current = new IntCountsHistogram(1);
      }
      current.recordValue(Math.max(0, value));
    }

    long count() {
      return current.getTotalCount() + previous.getTotalCount();
    }

    /**
     * Returns the larger percentile of the two histograms, so that the estimate is rather too high.
     */
    long percentile(double percentile) {
      return Math.max(
          current.getValueAtPercentile(percentile), previous.getValueAtPercentile(percentile));
    }
  }

  /** Records a usage report of a running task. */
  public void onUsage(String descriptionName, Resources usage) {
    Samples samples = samples(descriptionName);
    samples.processors.add(usage.processorsMillicores());
    samples.memory.add(usage.memoryMebibytes());
  }

  /** Records the run time of a completed task. */
  public void onRunTime(String descriptionName, long runMillis) {
    samples(descriptionName).runs.add(runMillis);
  }

  private Samples samples(String descriptionName) {
    return samplesByName.computeIfAbsent(descriptionName, name -> new Samples());
  }

  /** Returns the estimate for a description, if it has reports. */
  public Optional<UsageEstimate> estimate(String descriptionName) {
    Samples samples = samplesByName.get(descriptionName);
    if (samples == null) {
      return Optional.empty();
    }
    return Optional.of(
        new UsageEstimate(
            samples.processors.percentile(USAGE_PERCENTILE),
            samples.memory.percentile(USAGE_PERCENTILE),
            samples.runs.percentile(RUN_TIME_PERCENTILE),
            samples.processors.count()));
  }
}
