package org.cicadaford.description.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.cicadaford.description.DescriptionLimits;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobKind;
import org.cicadaford.model.QueuePolicy;
import org.cicadaford.model.TeamPolicy;

/** Checks that the entries of all files are consistent with each other. */
public final class ConsistencyChecker {

  private final DescriptionEntries entries;
  private final DescriptionLimits limits;
  private final Map<String, TeamPolicy> teamsByName = new HashMap<>();

  /** Creates a checker for all entries that were read. */
  public ConsistencyChecker(DescriptionEntries entries, DescriptionLimits limits) {
    this.entries = entries;
    this.limits = limits;
  }

  /** Reports duplicate names, unknown teams and queues, exceeded quotas and conflicting fields. */
  public void check() {
    checkUniqueNames("job", entries.jobs, JobDescription::name);
    checkUniqueNames("team", entries.teams, TeamPolicy::name);
    checkUniqueNames("queue", entries.queues, QueuePolicy::name);
    entries.teams.forEach(team -> teamsByName.put(team.value().name(), team.value()));
    List<String> teams = new ArrayList<>(teamsByName.keySet());
    teams.addAll(entries.teamsWithErrors);
    List<String> queues = new ArrayList<>(entries.queuesWithErrors);
    entries.queues.forEach(queue -> queues.add(queue.value().name()));
    JobChecker jobChecker = new JobChecker(limits);
    for (LocatedEntry<JobDescription> job : entries.jobs) {
      jobChecker.check(job);
      checkReference(job, FieldSpecs.TEAM, job.value().team(), teams);
      checkReference(job, FieldSpecs.QUEUE, job.value().queue(), queues);
      checkQuota(job);
    }
  }

  private static <T> void checkUniqueNames(
      String kind, List<LocatedEntry<T>> entries, Function<T, String> nameOf) {
    Map<String, Position> firstPositionByName = new HashMap<>();
    for (LocatedEntry<T> entry : entries) {
      String name = nameOf.apply(entry.value());
      Position first =
          firstPositionByName.putIfAbsent(name, entry.reader().positionOf(FieldSpecs.NAME));
      if (first != null) {
        entry
            .reader()
            .addError(
                FieldSpecs.NAME,
                kind + " " + name + " is already defined in " + first.file() + ":" + first.line(),
                "give one of them another name or remove it");
      }
    }
  }

  private static void checkReference(
      LocatedEntry<JobDescription> job,
      FieldSpec<String> field,
      String name,
      Collection<String> known) {
    if (known.contains(name)) {
      return;
    }
    String remedy =
        NameSuggester.nearest(name, known)
            .map(nearest -> "did you mean " + nearest + "?")
            .orElse("define it in one of the published files");
    job.reader().addError(field, "unknown " + field.name() + " " + name, remedy);
  }

  private void checkQuota(LocatedEntry<JobDescription> located) {
    JobDescription job = located.value();
    TeamPolicy team = teamsByName.get(job.team());
    if (team == null) {
      return;
    }
    boolean runsAllTasksAtOnce = job.kind() != JobKind.BATCH;
    int concurrentTaskCount = runsAllTasksAtOnce ? job.taskCount() : 1;
    long neededMillicores = job.resourcesPerTask().processorsMillicores() * concurrentTaskCount;
    if (neededMillicores > team.limitMillicores()) {
      located
          .reader()
          .addError(
              FieldSpecs.PROCESSORS,
              concurrentTaskCount
                  + " tasks at once need "
                  + neededMillicores
                  + " millicores, but the quota of team "
                  + team.name()
                  + " is "
                  + team.limitMillicores(),
              "lower processors or tasks, or raise the quota");
    }
  }
}
