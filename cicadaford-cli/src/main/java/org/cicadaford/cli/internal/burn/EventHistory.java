package org.cicadaford.cli.internal.burn;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Turns counters that only grow, and begin again at each start of a daemon, into events at times.
 *
 * <p>The first sample of a daemon is only a base: what it counted before was counted at an unknown
 * time. An event is dated at the sample that first counts it.
 */
final class EventHistory {

  /** Events between two samples of one daemon. */
  record Entry(long atMillis, String zone, String team, EventCount events) {}

  private final List<Entry> entries;

  private EventHistory(List<Entry> entries) {
    this.entries = entries;
  }

  static EventHistory of(String objective, List<Sample> samples) {
    Map<String, Sample> lastByInstance = new HashMap<>();
    List<Entry> entries = new ArrayList<>();
    List<Sample> sorted =
        samples.stream().sorted(Comparator.comparingLong(Sample::atMillis)).toList();
    for (Sample sample : sorted) {
      Sample last = lastByInstance.put(sample.instanceId(), sample);
      if (last == null) {
        continue;
      }
      for (String team : sample.counts().getOrDefault(objective, Map.of()).keySet()) {
        EventCount events = sample.count(objective, team).since(last.count(objective, team));
        entries.add(new Entry(sample.atMillis(), sample.zone(), team, events));
      }
    }
    return new EventHistory(entries);
  }

  /** Returns the events after {@code fromMillis} up to and including {@code toMillis}. */
  EventCount count(long fromMillis, long toMillis, Predicate<Entry> filter) {
    EventCount sum = EventCount.NONE;
    for (Entry entry : entries) {
      if (entry.atMillis() > fromMillis && entry.atMillis() <= toMillis && filter.test(entry)) {
        sum = sum.plus(entry.events());
      }
    }
    return sum;
  }

  List<String> teams() {
    TreeSet<String> teams = new TreeSet<>();
    entries.forEach(entry -> teams.add(entry.team()));
    return List.copyOf(teams);
  }

  List<String> zonesOf(String team) {
    TreeSet<String> zones = new TreeSet<>();
    entries.stream().filter(e -> e.team().equals(team)).forEach(e -> zones.add(e.zone()));
    return List.copyOf(zones);
  }
}
