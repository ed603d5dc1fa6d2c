package org.cicadaford.cli.internal.burn;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Converts cumulative counters, which are reset when a daemon starts, into timed events.
 *
 * <p>The first sample of a daemon is only a baseline, since its events happened at unknown times.
 * An event has the time of the first sample that counts it.
 */
final class EventHistory {

  /** Holds the events between two samples of a daemon. */
  private record Entry(long atMillis, String zone, EventCount events) {}

  private final Map<String, List<Entry>> entriesByTeam = new TreeMap<>();

  private EventHistory() {}

  static EventHistory of(String objective, List<Sample> samples) {
    EventHistory history = new EventHistory();
    Map<String, Sample> lastByInstance = new HashMap<>();
    List<Sample> sorted =
        samples.stream().sorted(Comparator.comparingLong(Sample::atMillis)).toList();
    for (Sample sample : sorted) {
      Sample last = lastByInstance.put(sample.instanceId(), sample);
      if (last != null) {
        history.add(objective, last, sample);
      }
    }
    return history;
  }

  private void add(String objective, Sample last, Sample sample) {
    for (String team : sample.counts().getOrDefault(objective, Map.of()).keySet()) {
      EventCount events = sample.count(objective, team).since(last.count(objective, team));
      List<Entry> entries = entriesByTeam.computeIfAbsent(team, name -> new ArrayList<>());
      // A bad event can be scraped before the total that includes it.
      if (events.total() > 0 || events.bad() > 0) {
        entries.add(new Entry(sample.atMillis(), sample.zone(), events));
      }
    }
  }

  /**
   * Returns the events after {@code fromMillis} up to and including {@code toMillis}.
   *
   * @param team team, or {@link BurnCalculator#ALL}
   * @param zone availability zone, or {@link BurnCalculator#ALL}
   */
  EventCount count(String team, String zone, long fromMillis, long toMillis) {
    EventCount sum = EventCount.NONE;
    for (Map.Entry<String, List<Entry>> ofTeam : entriesByTeam.entrySet()) {
      if (!team.equals(BurnCalculator.ALL) && !team.equals(ofTeam.getKey())) {
        continue;
      }
      for (Entry entry : ofTeam.getValue()) {
        boolean inWindow = entry.atMillis() > fromMillis && entry.atMillis() <= toMillis;
        if (inWindow && (zone.equals(BurnCalculator.ALL) || zone.equals(entry.zone()))) {
          sum = sum.plus(entry.events());
        }
      }
    }
    return sum;
  }

  List<String> teams() {
    return List.copyOf(entriesByTeam.keySet());
  }

  List<String> zonesOf(String team) {
    TreeSet<String> zones = new TreeSet<>();
    entriesByTeam.getOrDefault(team, List.of()).forEach(entry -> zones.add(entry.zone()));
    return List.copyOf(zones);
  }
}
