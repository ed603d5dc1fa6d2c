package org.cicadaford.coordinator;

import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;

/** Reads counters of {@link CellMetrics}. */
final class CellMetricsText {

  private static final String COUNTER_SUFFIX = "_total";

  private CellMetricsText() {}

  /** Returns the sum of a counter over all its labels. */
  static double value(CellMetrics metrics, String name) {
    String baseName = name.substring(0, name.length() - COUNTER_SUFFIX.length());
    double sum = 0;
    for (MetricSnapshot snapshot : metrics.registry().scrape()) {
      if (snapshot instanceof CounterSnapshot counter
          && counter.getMetadata().getName().equals(baseName)) {
        sum += counter.getDataPoints().stream().mapToDouble(point -> point.getValue()).sum();
      }
    }
    return sum;
  }
}
