package org.cicadaford.cli.internal.burn;

import java.util.List;
import java.util.Map;

/**
 * Selects values of a metric.
 *
 * @param metric name as exposed, such as {@code cicadaford_requests_total}
 * @param labels accepted values of each named label; other labels may have any value
 */
public record MetricSelector(String metric, Map<String, List<String>> labels) {

  boolean matches(MetricValue value) {
    return value.name().equals(metric)
        && labels.entrySet().stream()
            .allMatch(
                label ->
                    label.getValue().contains(value.labels().getOrDefault(label.getKey(), "")));
  }
}
