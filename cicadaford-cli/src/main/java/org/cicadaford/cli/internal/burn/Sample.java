package org.cicadaford.cli.internal.burn;

import java.util.Map;

/**
 * Holds the counters of an entry daemon at the time of a scrape.
 *
 * @param atMillis time of the scrape
 * @param instanceId id of the daemon, which is new after each start
 * @param zone availability zone of the daemon
 * @param counts counts by objective, then by team
 */
public record Sample(
    long atMillis, String instanceId, String zone, Map<String, Map<String, EventCount>> counts) {

  EventCount count(String objective, String team) {
    return counts.getOrDefault(objective, Map.of()).getOrDefault(team, EventCount.NONE);
  }
}
