package org.cicadaford.cli.internal.burn;

import java.util.Map;

/**
 * A value of a metric at one moment.
 *
 * @param name name of the metric
 * @param labels its labels
 * @param value the value
 */
public record MetricValue(String name, Map<String, String> labels, double value) {}
