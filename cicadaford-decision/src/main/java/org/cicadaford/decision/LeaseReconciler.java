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
final class LeaseReconciler {

  /**
   * Number of changes at which a round stops checking workers, which bounds the size of a batch.
   */
  private static final int MAX_CHANGES = 2_000;

  private final LeaseTable leases;
  private final TaskEndDetector taskEndDetector;
  private final StartPlanner startPlanner;
  private final RenewalPlanner renewalPlanner;
  private final StopPlanner stopPlanner;
  private final EvacuationPlanner evacuationPlanner;
  private final WorkerListReconciler workerListReconciler;
  private final QuarantinePolicy quarantinePolicy;
  private final ThrottlePlanner throttlePlanner;
  private final UsageEstimator usageEstimator = new UsageEstimator();

  LeaseReconciler(OwnerSettings settings, LifeCycleSettings lifeCycle, long epochStartMillis) {
    RateLimiter starts = new RateLimiter(lifeCycle.startsPerSecond(), epochStartMillis);
    RateLimiter evacuations = new RateLimiter(lifeCycle.evacuationsPerSecond(), epochStartMillis);
    this.leases = new LeaseTable(settings);
    this.taskEndDetector = new TaskEndDetector(leases, settings, lifeCycle);
    this.startPlanner = new StartPlanner(leases, settings, starts);
    this.renewalPlanner = new RenewalPlanner(leases, settings, epochStartMillis);
    this.stopPlanner = new StopPlanner(leases, lifeCycle);
    this.evacuationPlanner = new EvacuationPlanner(leases, lifeCycle, evacuations);
    this.workerListReconciler = new WorkerListReconciler(leases);
    this.quarantinePolicy = new QuarantinePolicy(lifeCycle);
    this.throttlePlanner = new ThrottlePlanner(leases, lifeCycle);
  }

  void onAnswer(
      String workerId,
      WorkerCommand command,
      WorkerAnswer answer,
      long sentAtMillis,
      long nowMillis) {
    leases.workerState(workerId).onAnswer(command, answer, sentAtMillis, nowMillis);
  }

  void onUnreachable(String workerId) {
    WorkerLeaseState workerState = leases.workerState(workerId);
    workerState.unreachable = true;
    workerState.hasUpdate = true;
  }

  void onHandOver(LeaseHandover handover) {
    leases.onHandOver(handover);
  }

  LeaseHandover handOver(ReconcileRound round) {
    return leases.handOver(round);
  }

  /** Returns whether tasks can be placed on the worker: it is reachable and not leaving. */
  boolean acceptsTasks(String workerId) {
    WorkerLeaseState workerState = leases.workerState(workerId);
    return !workerState.leaving && !workerState.unreachable;
  }

  /** Returns the measured usage of a description's tasks. */
  Optional<UsageEstimate> usageEstimate(String descriptionName) {
    return usageEstimator.estimate(descriptionName);
  }

  /** Returns what to record now; each change is returned until it is recorded. */
  List<ZoneChange> changes(ReconcileRound round) {
    leases.observeEarlierOwners(round.zone());
    leases.removeEnded(round);
    quarantinePolicy.removeEnded(round.zone());
    List<ZoneChange> changes = new ArrayList<>(workerListReconciler.decide(round));
    for (JobStatus job : round.zone().finishedJobs()) {
      changes.add(close(round, job));
    }
    for (WorkerStatus worker : round.zone().workers()) {
      WorkerLeaseState workerState = leases.workerState(worker.workerId());
      workerState.selectedForRound =
          changes.size() < MAX_CHANGES && isCheckDue(round, worker, workerState);
      if (workerState.selectedForRound) {
        addChanges(round, worker, workerState, changes);
      }
    }
    return changes;
  }

  /**
   * Skips workers without news, because most need nothing in most rounds and checking all of them
   * is too slow.
   */
  private static boolean isCheckDue(
      ReconcileRound round, WorkerStatus worker, WorkerLeaseState workerState) {
    long revision = round.zone().workerRevision(worker.workerId());
    boolean due =
        workerState.hasUpdate
            || workerState.leaving
            || round.zoneTakenOut()
            || workerState.checkedRevision != revision
            || round.nowMillis() >= workerState.idleUntilMillis;
    if (due) {
      workerState.hasUpdate = false;
      workerState.checkedRevision = revision;
      workerState.idleUntilMillis = 0;
    }
    return due;
  }

  private void addChanges(
      ReconcileRound round,
      WorkerStatus worker,
      WorkerLeaseState workerState,
      List<ZoneChange> changes) {
    int countBefore = changes.size();
    Collection<TaskStatus> tasks = round.zone().committedTasksOn(worker.workerId());
    processReports(round, workerState, tasks);
    tasks.forEach(task -> taskEndDetector.decide(round, task).ifPresent(changes::add));
    changes.addAll(evacuationPlanner.decide(round, workerState, tasks));
    quarantinePolicy.decide(worker, round.nowMillis()).ifPresent(changes::add);
    workerState.hasUpdate = changes.size() > countBefore;
  }

  private void processReports(
      ReconcileRound round, WorkerLeaseState workerState, Collection<TaskStatus> committedTasks) {
    for (TaskStatus task : committedTasks) {
      LeaseEntry entry = leases.entry(task);
      quarantinePolicy.observe(round, task, entry);
      if (workerState.hasNewReports && entry.report != null) {
        recordUsage(round.descriptionOf(task), entry);
      }
    }
  }

  private void recordUsage(JobDescription description, LeaseEntry entry) {
    TaskReport report = entry.report;
    if (entry.isRunning() && report.usage() != null) {
      usageEstimator.onUsage(description.name(), report.usage());
    }
    if (report.state() == TaskReport.State.COMPLETED && !entry.runTimeCounted) {
      entry.runTimeCounted = true;
      usageEstimator.onRunTime(
          description.name(), report.endedAtMillis() - report.startedAtMillis());
    }
  }

  private static JobClosed close(ReconcileRound round, JobStatus job) {
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
  List<AddressedCommand> commands(ReconcileRound round) {
    List<AddressedCommand> commands = new ArrayList<>();
    List<TaskStatus> toStart = new ArrayList<>();
    for (WorkerStatus worker : round.zone().workers()) {
      String workerId = worker.workerId();
      WorkerLeaseState workerState = leases.workerState(workerId);
      if (!workerState.selectedForRound) {
        continue;
      }
      Collection<TaskStatus> tasks = round.zone().committedTasksOn(workerId);
      commands.addAll(stopPlanner.decide(round, workerId, tasks));
      renewalPlanner.decide(round, workerId, tasks).ifPresent(commands::add);
      for (TaskStatus task : tasks) {
        if (startPlanner.isCandidate(round, task, workerState)) {
          toStart.add(task);
        } else if (startPlanner.isResendDue(round, task, workerState)) {
          commands.add(startPlanner.resend(round, task));
        }
      }
      if (workerState.hasNewReports) {
        workerState.hasNewReports = false;
        commands.addAll(throttlePlanner.decide(round, worker, tasks));
      }
      workerState.idleUntilMillis = renewalPlanner.idleUntilMillis(round, workerState, tasks);
    }
    commands.addAll(startPlanner.decide(round, toStart));
    return commands;
  }
}
