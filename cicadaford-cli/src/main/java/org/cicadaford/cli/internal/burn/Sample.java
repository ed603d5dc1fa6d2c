package org.cicadaford.cli.internal.burn;

import java.util.Map;

/**
 * The counters of one entry daemon at one moment.
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
