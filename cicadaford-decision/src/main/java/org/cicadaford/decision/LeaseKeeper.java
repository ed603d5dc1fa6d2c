package org.cicadaford.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobState;
import org.cicadaford.model.TaskEnd;
import org.cicadaford.model.TaskReport;
import org.cicadaford.model.WorkerAnswer;
import org.cicadaford.model.WorkerCommand;
import org.cicadaford.model.ZoneChange;
import org.cicadaford.model.ZoneChange.JobClosed;

/**
 * Reconciles the tasks that run on workers with the recorded placements.
 *
 * <p>Every round compares the recorded placements with the last reports of the workers, so a later
 * round repairs a lost batch, command or answer. One instance serves one ownership epoch.
 */
final class LeaseKeeper {

  /**
   * Number of changes at which a round stops checking workers, which bounds the size of a batch.
   */
  private static final int MAX_CHANGES = 2_000;

  private final LeaseTable leases;
  private final EndDetector endDetector;
  private final StartPlanner startPlanner;
  private final RenewalPlanner renewalPlanner;
  private final StopPlanner stopPlanner;
  private final EvacuationPlanner evacuationPlanner;
  private final WorkerListKeeper workerListKeeper;
  private final QuarantineKeeper quarantineKeeper;
  private final ThrottlePlanner throttlePlanner;
  private final UsageEstimator usageEstimator = new UsageEstimator();

  LeaseKeeper(OwnerSettings settings, LifeCycleSettings lifeCycle, long epochStartMillis) {
    RateBudget starts = new RateBudget(lifeCycle.startsPerSecond(), epochStartMillis);
    RateBudget evacuations = new RateBudget(lifeCycle.evacuationsPerSecond(), epochStartMillis);
    this.leases = new LeaseTable(settings);
    this.endDetector = new EndDetector(leases, settings, lifeCycle);
    this.startPlanner = new StartPlanner(leases, settings, starts);
    this.renewalPlanner = new RenewalPlanner(leases, settings, epochStartMillis);
    this.stopPlanner = new StopPlanner(leases, lifeCycle);
    this.evacuationPlanner = new EvacuationPlanner(leases, lifeCycle, evacuations);
    this.workerListKeeper = new WorkerListKeeper(leases);
    this.quarantineKeeper = new QuarantineKeeper(lifeCycle);
    this.throttlePlanner = new ThrottlePlanner(leases, lifeCycle);
  }

  void onAnswer(
      String workerId,
      WorkerCommand command,
      WorkerAnswer answer,
      long sentAtMillis,
      long nowMillis) {
    leases.contact(workerId).onAnswer(command, answer, sentAtMillis, nowMillis);
  }

  void onUnreachable(String workerId) {
    WorkerContact contact = leases.contact(workerId);
    contact.unreachable = true;
    contact.isNews = true;
  }

  void onHandOver(LeaseHandover told) {
    leases.onHandOver(told);
  }

  LeaseHandover handOver(KeeperRound round) {
    return leases.handOver(round);
  }

  /** Returns whether tasks can be placed on the worker: it is reachable and not leaving. */
  boolean acceptsTasks(String workerId) {
    WorkerContact contact = leases.contact(workerId);
    return !contact.leaving && !contact.unreachable;
  }

  /** Returns the measured usage of a description's tasks. */
  Optional<UsageEstimate> usageEstimate(String descriptionName) {
    return usageEstimator.estimate(descriptionName);
  }

  /** Returns what to record now; each change is returned until it is recorded. */
  List<ZoneChange> changes(KeeperRound round) {
    leases.observeEarlierOwners(round.zone());
    leases.forgetEnded(round);
    quarantineKeeper.forgetEnded(round.zone());
    List<ZoneChange> changes = new ArrayList<>(workerListKeeper.decide(round));
    for (JobStatus job : round.zone().finishedJobs()) {
      changes.add(close(round, job));
    }
    for (WorkerStatus worker : round.zone().workers()) {
      WorkerContact contact = leases.contact(worker.workerId());
      contact.isLookedAt = changes.size() < MAX_CHANGES && isLookDue(round, worker, contact);
      if (contact.isLookedAt) {
        addChanges(round, worker, contact, changes);
      }
    }
    return changes;
  }

  /**
   * Skips workers without news, because most need nothing in most rounds and checking all of them
   * is too slow.
   */
  private static boolean isLookDue(KeeperRound round, WorkerStatus worker, WorkerContact contact) {
    long revision = round.zone().workerRevision(worker.workerId());
    boolean due =
        contact.isNews
            || contact.leaving
            || round.zoneOut()
            || contact.lookedRevision != revision
            || round.nowMillis() >= contact.quietUntilMillis;
    if (due) {
      contact.isNews = false;
      contact.lookedRevision = revision;
      contact.quietUntilMillis = 0;
    }
    return due;
  }

  private void addChanges(
      KeeperRound round, WorkerStatus worker, WorkerContact contact, List<ZoneChange> changes) {
    int countBefore = changes.size();
    Collection<TaskStatus> tasks = round.zone().committedTasksOn(worker.workerId());
    takeInReports(round, contact, tasks);
    tasks.forEach(task -> endDetector.decide(round, task).ifPresent(changes::add));
    changes.addAll(evacuationPlanner.decide(round, contact, tasks));
    quarantineKeeper.decide(worker, round.nowMillis()).ifPresent(changes::add);
    contact.isNews = changes.size() > countBefore;
  }

  private void takeInReports(
      KeeperRound round, WorkerContact contact, Collection<TaskStatus> committedTasks) {
    for (TaskStatus task : committedTasks) {
      LeaseEntry entry = leases.entry(task);
      quarantineKeeper.observe(round, task, entry);
      if (contact.hasNewReports && entry.report != null) {
        takeInUsage(round.descriptionOf(task), entry);
      }
    }
  }

  private void takeInUsage(JobDescription description, LeaseEntry entry) {
    TaskReport report = entry.report;
    if (entry.isRunning() && report.usage() != null) {
      usageEstimator.onUsage(description.name(), report.usage());
    }
    if (report.state() == TaskReport.State.COMPLETED && !entry.runTimeCounted) {
      entry.runTimeCounted = true;
      usageEstimator.onRun(description.name(), report.endedAtMillis() - report.startedAtMillis());
    }
  }

  private static JobClosed close(KeeperRound round, JobStatus job) {
    Optional<TaskStatus> failed =
        round.zone().tasksOf(job.jobId()).stream()
            .filter(task -> task.lastEnd() != TaskEnd.COMPLETED)
            .findFirst();
    String reason =
        failed
            .map(task -> "task " + task.taskId().index() + " ended as " + describe(task))
            .orElse("all tasks completed");
    JobState state = failed.isPresent() ? JobState.FAILED : JobState.COMPLETED;
    return new JobClosed(job.jobId(), state, reason, round.nowMillis());
  }

  private static String describe(TaskStatus task) {
    return task.answer().isEmpty()
        ? String.valueOf(task.lastEnd())
        : task.lastEnd() + ": " + task.answer();
  }

  /** Returns the commands to send now. */
  List<AddressedCommand> orders(KeeperRound round) {
    List<AddressedCommand> orders = new ArrayList<>();
    List<TaskStatus> toStart = new ArrayList<>();
    for (WorkerStatus worker : round.zone().workers()) {
      String workerId = worker.workerId();
      WorkerContact contact = leases.contact(workerId);
      if (!contact.isLookedAt) {
        continue;
      }
      Collection<TaskStatus> tasks = round.zone().committedTasksOn(workerId);
      orders.addAll(stopPlanner.decide(round, workerId, tasks));
      renewalPlanner.decide(round, workerId, tasks).ifPresent(orders::add);
      for (TaskStatus task : tasks) {
        if (startPlanner.isCandidate(round, task, contact)) {
          toStart.add(task);
        } else if (startPlanner.isResendDue(round, task, contact)) {
          orders.add(startPlanner.resend(round, task));
        }
      }
      if (contact.hasNewReports) {
        contact.hasNewReports = false;
        orders.addAll(throttlePlanner.decide(round, worker, tasks));
      }
      contact.quietUntilMillis = renewalPlanner.quietUntilMillis(round, contact, tasks);
    }
    orders.addAll(startPlanner.decide(round, toStart));
    return orders;
  }
}
