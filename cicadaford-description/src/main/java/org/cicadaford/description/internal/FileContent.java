package org.cicadaford.description.internal;

import java.util.ArrayList;
import java.util.List;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.QueuePolicy;
import org.cicadaford.model.TeamPolicy;

/** The entries of all files read so far. */
public final class FileContent {

  final List<Located<JobDescription>> jobs = new ArrayList<>();
  final List<Located<TeamPolicy>> teams = new ArrayList<>();
  final List<Located<QueuePolicy>> queues = new ArrayList<>();

  /** Names whose entries have other faults; references to them are not reported as well. */
  final List<String> teamsWithErrors = new ArrayList<>();

  final List<String> queuesWithErrors = new ArrayList<>();

  /** Returns the checked jobs in the order of their names. */
  public List<JobDescription> jobs() {
    return values(jobs).stream().sorted((a, b) -> a.name().compareTo(b.name())).toList();
  }

  /** Returns the checked teams in the order of their names. */
  public List<TeamPolicy> teams() {
    return values(teams).stream().sorted((a, b) -> a.name().compareTo(b.name())).toList();
  }

  /** Returns the checked queues in the order of their names. */
  public List<QueuePolicy> queues() {
    return values(queues).stream().sorted((a, b) -> a.name().compareTo(b.name())).toList();
  }

  private static <T> List<T> values(List<Located<T>> entries) {
    return entries.stream().map(Located::value).toList();
  }
}
