package org.cicadaford.description.internal;

import java.util.ArrayList;
import java.util.List;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.QueuePolicy;
import org.cicadaford.model.TeamPolicy;

/** Holds the entries of all files read so far. */
public final class DescriptionEntries {

  final List<LocatedEntry<JobDescription>> jobs = new ArrayList<>();
  final List<LocatedEntry<TeamPolicy>> teams = new ArrayList<>();
  final List<LocatedEntry<QueuePolicy>> queues = new ArrayList<>();

  /** Names of teams whose entries have errors; references to them are not reported as unknown. */
  final List<String> teamsWithErrors = new ArrayList<>();

  final List<String> queuesWithErrors = new ArrayList<>();

  /** Returns the valid jobs, sorted by name. */
  public List<JobDescription> jobs() {
    return valuesOf(jobs).stream().sorted((a, b) -> a.name().compareTo(b.name())).toList();
  }

  /** Returns the valid teams, sorted by name. */
  public List<TeamPolicy> teams() {
    return valuesOf(teams).stream().sorted((a, b) -> a.name().compareTo(b.name())).toList();
  }

  /** Returns the valid queues, sorted by name. */
  public List<QueuePolicy> queues() {
    return valuesOf(queues).stream().sorted((a, b) -> a.name().compareTo(b.name())).toList();
  }

  private static <T> List<T> valuesOf(List<LocatedEntry<T>> entries) {
    return entries.stream().map(LocatedEntry::value).toList();
  }
}
