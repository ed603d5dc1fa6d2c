package org.cicadaford.cli.internal.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cicadaford.decision.ConfigState;
import org.cicadaford.description.DescriptionSet;
import org.cicadaford.model.ConfigRecord.ConfigPublished;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.QueuePolicy;
import org.cicadaford.model.TeamPolicy;

/**
 * Holds the changes that a publish makes.
 *
 * @param baseVersion configuration version that the files were compared with
 */
public record ConfigDifference(
    long baseVersion, Part<JobDescription> jobs, Part<TeamPolicy> teams, Part<QueuePolicy> queues) {

  /**
   * Holds the changes of one kind of entry.
   *
   * @param added entries that are new
   * @param changed entries that replace existing ones of the same name
   * @param removed names of entries that no file defines any more
   */
  public record Part<T>(List<T> added, List<T> changed, List<String> removed) {

    List<T> upserts() {
      List<T> upserts = new ArrayList<>(added);
      upserts.addAll(changed);
      return upserts;
    }

    boolean isEmpty() {
      return added.isEmpty() && changed.isEmpty() && removed.isEmpty();
    }
  }

  /** Compares valid descriptions with the configuration in force. */
  public static ConfigDifference between(ConfigState state, DescriptionSet wanted) {
    return new ConfigDifference(
        state.publishVersion(),
        compare(state.descriptions(), wanted.jobs(), JobDescription::name),
        compare(state.teams(), wanted.teams(), TeamPolicy::name),
        compare(state.queues(), wanted.queues(), QueuePolicy::name));
  }

  private static <T> Part<T> compare(
      Collection<T> inForce, Collection<T> wanted, Function<T, String> nameOf) {
    Map<String, T> oldByName = inForce.stream().collect(Collectors.toMap(nameOf, value -> value));
    List<T> added = new ArrayList<>();
    List<T> changed = new ArrayList<>();
    for (T value : wanted) {
      T old = oldByName.remove(nameOf.apply(value));
      if (old == null) {
        added.add(value);
      } else if (!old.equals(value)) {
        changed.add(value);
      }
    }
    return new Part<>(added, changed, oldByName.keySet().stream().sorted().toList());
  }

  /** Returns whether the files match the configuration in force. */
  public boolean isEmpty() {
    return jobs.isEmpty() && teams.isEmpty() && queues.isEmpty();
  }

  /** Returns the entries that would be removed, each with its kind. */
  public List<String> removals() {
    List<String> removals = new ArrayList<>();
    jobs.removed().forEach(name -> removals.add("job " + name));
    teams.removed().forEach(name -> removals.add("team " + name));
    queues.removed().forEach(name -> removals.add("queue " + name));
    return removals;
  }

  /** Returns the record that makes all changes atomically. */
  public ConfigPublished toRecord(String recordId, long base) {
    return new ConfigPublished(
        recordId,
        base,
        jobs.upserts(),
        teams.upserts(),
        queues.upserts(),
        jobs.removed(),
        teams.removed(),
        queues.removed());
  }

  /** Returns one line for each change: {@code +} added, {@code ~} changed, {@code -} removed. */
  public List<String> lines() {
    List<String> lines = new ArrayList<>();
    addLines(lines, "team", teams, TeamPolicy::name);
    addLines(lines, "queue", queues, QueuePolicy::name);
    addLines(lines, "job", jobs, JobDescription::name);
    return lines;
  }

  private static <T> void addLines(
      List<String> lines, String kind, Part<T> part, Function<T, String> nameOf) {
    part.added().forEach(value -> lines.add("+ " + kind + " " + nameOf.apply(value)));
    part.changed().forEach(value -> lines.add("~ " + kind + " " + nameOf.apply(value)));
    part.removed().forEach(name -> lines.add("- " + kind + " " + name));
  }

  /** Returns the names of changed entries, for JSON output. */
  public Map<String, Object> toJson() {
    Map<String, Object> json = new LinkedHashMap<>();
    json.put("jobs", names(jobs, JobDescription::name));
    json.put("teams", names(teams, TeamPolicy::name));
    json.put("queues", names(queues, QueuePolicy::name));
    return json;
  }

  private static <T> Map<String, List<String>> names(Part<T> part, Function<T, String> nameOf) {
    Map<String, List<String>> names = new LinkedHashMap<>();
    names.put("added", part.added().stream().map(nameOf).toList());
    names.put("changed", part.changed().stream().map(nameOf).toList());
    names.put("removed", part.removed());
    return names;
  }
}
