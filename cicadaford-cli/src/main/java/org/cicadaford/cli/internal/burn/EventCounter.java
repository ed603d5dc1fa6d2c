package org.cicadaford.cli.internal.burn;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Counts the events of objectives in scraped metrics. */
public final class EventCounter {

  /** Team of events without a team label. */
  public static final String NO_TEAM = "-";

  private static final String TEAM_LABEL = "team";

  private EventCounter() {}

  /** Returns the counts of all objectives by team. */
  public static Map<String, Map<String, EventCount>> count(
      List<Objective> objectives, List<MetricValue> values) {
    Map<String, Map<String, EventCount>> counts = new LinkedHashMap<>();
    for (Objective objective : objectives) {
      counts.put(objective.name(), count(objective, values));
    }
    return counts;
  }

  private static Map<String, EventCount> count(Objective objective, List<MetricValue> values) {
    Map<String, Double> counted = sumByTeam(objective.counted(), values);
    Map<String, Double> total = sumByTeam(objective.total(), values);
    Map<String, EventCount> byTeam = new TreeMap<>();
    total.forEach(
        (team, totalCount) -> {
          double selectedCount = Math.min(totalCount, counted.getOrDefault(team, 0.0));
          byTeam.put(
              team,
              new EventCount(
                  objective.countsBad() ? selectedCount : totalCount - selectedCount, totalCount));
        });
    return byTeam;
  }

  private static Map<String, Double> sumByTeam(
      List<MetricSelector> selectors, List<MetricValue> values) {
    Map<String, Double> sums = new HashMap<>();
    for (MetricValue value : values) {
      if (Double.isFinite(value.value()) && selectors.stream().anyMatch(s -> s.matches(value))) {
        sums.merge(value.labels().getOrDefault(TEAM_LABEL, NO_TEAM), value.value(), Double::sum);
      }
    }
    return sums;
  }
}
