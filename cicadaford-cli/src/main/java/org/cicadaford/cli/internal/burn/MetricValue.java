package org.cicadaford.cli.internal.burn;

import java.util.Map;

/**
 * Holds a scraped value of a metric.
 *
 * @param name name of the metric
 * @param labels labels of the metric
 * @param value scraped value
 */
public record MetricValue(String name, Map<String, String> labels, double value) {}
