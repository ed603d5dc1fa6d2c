package org.cicadaford.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cicadaford.decision.SchedulerSettings;
import org.cicadaford.decision.TaskSizer;
import org.cicadaford.decision.TaskStatus;
import org.cicadaford.decision.TeamLimits;
import org.cicadaford.decision.ZoneScheduler;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobKind;
import org.cicadaford.model.JobState;
import org.cicadaford.model.Resources;
import org.cicadaford.model.TaskEnd;
import org.cicadaford.model.TeamPolicy;
import org.cicadaford.model.Urgency;
import org.cicadaford.model.ZoneChange;
import org.cicadaford.model.ZoneChange.JobAdmitted;
import org.cicadaford.model.ZoneChange.JobClosed;
import org.cicadaford.model.ZoneChange.TaskEnded;

/** Provides a zone with running tasks for measuring single decisions. */
public final class LoadedZone {

  private static final long NOW_MILLIS = 1_000;
  private static final int TASKS_PER_JOB = 20;

  private final BenchmarkZone zone;
  private final ZoneScheduler scheduler;
  private final List<TeamPolicy> teams;
  private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7);
  private int jobCount;

  /** Fills {@code workerCount} workers to about 90% with {@code taskCount} tasks. */
  public LoadedZone(int workerCount, int taskCount, int teamCount, boolean keepStream) {
    teams = WorkloadGenerator.teams(teamCount, Long.MAX_VALUE / 4 / teamCount);
    zone = new BenchmarkZone(WorkloadGenerator.workers(workerCount), teams, keepStream);
    scheduler =
        new ZoneScheduler(
            BenchmarkZone.NAME, SchedulerSettings.DEFAULT, TeamLimits.recorded(BenchmarkZone.NAME));
    double mean = 0.9 * workerCount * WorkloadGenerator.WORKER_MILLICORES / taskCount;
    for (int placed = 0; placed < taskCount; placed += TASKS_PER_JOB) {
      admit(randomSize(mean), TASKS_PER_JOB);
    }
    while (!decideAndRecord().isEmpty()) {
      continue;
    }
  }

  private Resources randomSize(double meanMillicores) {
    long millicores = Math.max(10, (long) (meanMillicores * (0.5 + random.nextDouble())));
    return new Resources(millicores, Math.max(1, (long) (millicores * 1.4)), 0);
  }

  /** Admits a job of the next team. */
  public void admit(Resources size, int taskCount) {
    TeamPolicy team = teams.get(jobCount % teams.size());
    JobDescription description =
        new JobDescription(
            "job",
            team.name(),
            JobKind.BATCH,
            "queue",
            Urgency.NORMAL,
            size,
            taskCount,
            List.of(),
            0,
            0,
            60_000,
            true,
            true,
            "run");
    List<Integer> indexes = IntStream.range(0, taskCount).boxed().toList();
    zone.record(
        List.of(new JobAdmitted("job" + jobCount++, description, indexes, NOW_MILLIS)), NOW_MILLIS);
  }

  /**
   * Admits jobs of single large tasks and places those that still fit, so that at least {@code
   * count} of them are blocked.
   */
  public void admitBlocked(int count) {
    int workers = zone.state().workers().size();
    for (int i = 0; i < count + (count == 0 ? 0 : workers); i++) {
      admit(new Resources(40_000 + random.nextInt(20_000), 90_000, 0), 1);
    }
    while (!decideAndRecord().isEmpty()) {
      continue;
    }
  }

  /** Returns the next decision without recording it, so that a repeated call returns the same. */
  public List<ZoneChange> decide() {
    return scheduler.decide(zone.inputs(NOW_MILLIS), TaskSizer.DECLARED, NOW_MILLIS);
  }

  /** Records the next decision and returns it. */
  public List<ZoneChange> decideAndRecord() {
    List<ZoneChange> changes = decide();
    if (!changes.isEmpty()) {
      zone.record(changes, NOW_MILLIS);
    }
    return changes;
  }

  /** Ends all tasks of the job that was admitted last, to keep the load constant. */
  public void endLastJob() {
    List<ZoneChange> changes = new ArrayList<>();
    String jobId = "job" + (jobCount - 1);
    for (TaskStatus task : zone.state().tasksOf(jobId)) {
      if (task.isCommitted()) {
        changes.add(
            new TaskEnded(task.taskId(), task.attempt(), TaskEnd.COMPLETED, "", NOW_MILLIS));
      }
    }
    changes.add(new JobClosed(jobId, JobState.COMPLETED, "", NOW_MILLIS));
    zone.record(changes, NOW_MILLIS);
  }

  /** Returns the zone. */
  public BenchmarkZone zone() {
    return zone;
  }
}
