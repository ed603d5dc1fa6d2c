package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** A version of the configuration of the cell. */
public final class CellConfig {

  /** Empty configuration used before the first version is read. */
  public static final CellConfig EMPTY = new CellConfig(-1, List.of(), List.of());

  private final long version;
  private final Map<String, Queue> queuesByName = new HashMap<>();
  private final Map<String, List<Queue>> queuesByHost = new HashMap<>();
  private final Map<String, TeamShare> teamsByName = new HashMap<>();
  private final Map<String, TeamShare> teamsByKey = new HashMap<>();

  /** Creates a version with the given queues and teams. */
  public CellConfig(long version, List<Queue> queues, List<TeamShare> teams) {
    this.version = version;
    for (Queue queue : queues) {
      queuesByName.put(queue.name(), queue);
      queuesByHost.computeIfAbsent(queue.host(), host -> new ArrayList<>()).add(queue);
    }
    for (TeamShare team : teams) {
      teamsByName.put(team.name(), team);
      team.keys().forEach(key -> teamsByKey.put(key, team));
    }
  }

  /** Returns the version number; later versions have higher numbers. */
  public long version() {
    return version;
  }

  /** Returns the queue with that name. */
  public Optional<Queue> queue(String name) {
    return Optional.ofNullable(queuesByName.get(name));
  }

  /** Returns the queue of {@code host} with the longest path prefix that matches {@code path}. */
  public Optional<Queue> queueFor(String host, String path) {
    Queue best = null;
    for (Queue queue : queuesByHost.getOrDefault(host, List.of())) {
      boolean longer = best == null || queue.pathPrefix().length() > best.pathPrefix().length();
      if (longer && path.startsWith(queue.pathPrefix())) {
        best = queue;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns the team with that name. */
  public Optional<TeamShare> team(String name) {
    return Optional.ofNullable(teamsByName.get(name));
  }

  /** Returns the names of all teams, and an empty name if a queue accepts jobs without a key. */
  Set<String> teamNames() {
    Set<String> names = new HashSet<>(teamsByName.keySet());
    if (queuesByName.values().stream().anyMatch(Queue::open)) {
      names.add("");
    }
    return names;
  }

  /** Returns the team that {@code key} belongs to. */
  public Optional<TeamShare> teamOfKey(String key) {
    return Optional.ofNullable(teamsByKey.get(key));
  }
}
