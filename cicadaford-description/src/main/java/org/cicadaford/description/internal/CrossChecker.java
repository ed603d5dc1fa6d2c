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

/** Checks the entries of all files against each other. */
public final class CrossChecker {

  private final FileContent content;
  private final DescriptionLimits limits;
  private final Map<String, TeamPolicy> teamsByName = new HashMap<>();

  /** Creates a checker of all entries read. */
  public CrossChecker(FileContent content, DescriptionLimits limits) {
    this.content = content;
    this.limits = limits;
  }

  /** Reports repeated names, unknown references and combinations that cannot work. */
  public void check() {
    checkNames("job", content.jobs, JobDescription::name);
    checkNames("team", content.teams, TeamPolicy::name);
    checkNames("queue", content.queues, QueuePolicy::name);
    content.teams.forEach(team -> teamsByName.put(team.value().name(), team.value()));
    List<String> teams = new ArrayList<>(teamsByName.keySet());
    teams.addAll(content.teamsWithErrors);
    List<String> queues = new ArrayList<>(content.queuesWithErrors);
    content.queues.forEach(queue -> queues.add(queue.value().name()));
    JobChecker jobChecker = new JobChecker(limits);
    for (Located<JobDescription> job : content.jobs) {
      jobChecker.check(job);
      checkReference(job, Fields.TEAM, job.value().team(), teams);
      checkReference(job, Fields.QUEUE, job.value().queue(), queues);
      checkQuota(job);
    }
  }

  private static <T> void checkNames(
      String kind, List<Located<T>> entries, Function<T, String> nameOf) {
    Map<String, Position> places = new HashMap<>();
    for (Located<T> entry : entries) {
      String name = nameOf.apply(entry.value());
      Position first = places.putIfAbsent(name, entry.reader().positionOf(Fields.NAME));
      if (first != null) {
        entry
            .reader()
            .addError(
                Fields.NAME,
                kind
                    + " "
                    + name
                    + " is described in "
                    + first.file()
                    + ":"
                    + first.line()
                    + " too",
                "give one of them another name or remove it");
      }
    }
  }

  private static void checkReference(
      Located<JobDescription> job, FieldSpec<String> field, String name, Collection<String> known) {
    if (known.contains(name)) {
      return;
    }
    String remedy =
        NameSuggester.nearest(name, known)
            .map(nearest -> "did you mean " + nearest + "?")
            .orElse("describe it in one of the published files");
    job.reader().addError(field, "unknown " + field.name() + " " + name, remedy);
  }

  private void checkQuota(Located<JobDescription> located) {
    JobDescription job = located.value();
    TeamPolicy team = teamsByName.get(job.team());
    if (team == null) {
      return;
    }
    boolean runsAtOnce = job.kind() != JobKind.BATCH;
    int tasksAtOnce = runsAtOnce ? job.taskCount() : 1;
    long neededMillicores = job.resourcesPerTask().processorsMillicores() * tasksAtOnce;
    if (neededMillicores > team.limitMillicores()) {
      located
          .reader()
          .addError(
              Fields.PROCESSORS,
              tasksAtOnce
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
