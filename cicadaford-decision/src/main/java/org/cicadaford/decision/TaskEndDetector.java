package org.cicadaford.decision;

import java.util.Optional;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.TaskEnd;
import org.cicadaford.model.TaskReport;
import org.cicadaford.model.ZoneChange.TaskEnded;

/**
 * Detects placements that have certainly ended.
 *
 * <p>Once an end is decided, the placement gets no further lease, so the decision still holds when
 * it is recorded.
 */
final class TaskEndDetector {

  /**
   * Time after which a placement on an unreachable worker is given up if it was never started, in
   * milliseconds.
   */
  private static final long UNREACHABLE_START_TIMEOUT_MILLIS = 1_000;

  private final LeaseTable leases;
  private final OwnerSettings settings;
  private final LifeCycleSettings lifeCycle;

  TaskEndDetector(LeaseTable leases, OwnerSettings settings, LifeCycleSettings lifeCycle) {
    this.leases = leases;
    this.settings = settings;
    this.lifeCycle = lifeCycle;
  }

  Optional<TaskEnded> decide(ReconcileRound round, TaskStatus task) {
    LeaseEntry entry = leases.entry(task);
    Optional<TaskEnded> end =
        entry.hasEnded() ? endFromReport(round, task, entry) : endWithoutReport(round, task, entry);
    if (end.isPresent()) {
      entry.endDecided = true;
    }
    return end;
  }

  private Optional<TaskEnded> endFromReport(
      ReconcileRound round, TaskStatus task, LeaseEntry entry) {
    TaskReport report = entry.report;
    if (entry.neverStarted()) {
      return neverStarted(round, task, entry);
    }
    TaskEnd end =
        switch (report.state()) {
          case COMPLETED -> TaskEnd.COMPLETED;
          case FAILED -> isCancelled(round, task) ? TaskEnd.CANCELLED : TaskEnd.FAILED;
          default -> endOfStoppedTask(round, task, report);
        };
    String answer = report.answer() == null ? "" : report.answer();
    if (end == TaskEnd.LOST && answer.isEmpty()) {
      answer = "the lease expired on worker " + task.workerId();
    }
    long endedAtMillis =
        Math.max(task.placedAtMillis(), Math.min(report.endedAtMillis(), round.nowMillis()));
    return Optional.of(new TaskEnded(task.taskId(), task.attempt(), end, answer, endedAtMillis));
  }

  /**
   * Returns how a stopped task ended. A task that must not run twice can continue elsewhere only
   * from a checkpoint, which is written on a stop command but not when the lease expires.
   */
  private static TaskEnd endOfStoppedTask(
      ReconcileRound round, TaskStatus task, TaskReport report) {
    if (round.shouldRun(task)) {
      return TaskEnd.LOST;
    }
    JobDescription description = round.descriptionOf(task);
    boolean endedBeforeLease = report.endedAtMillis() < report.leaseUntilMillis();
    boolean hasCheckpoint = description.checkpointable() && endedBeforeLease;
    return isCancelled(round, task)
            || TaskTransitionPolicy.mayRunAgain(description)
            || hasCheckpoint
        ? round.stopReason(task)
        : TaskEnd.LOST;
  }

  private static boolean isCancelled(ReconcileRound round, TaskStatus task) {
    return !round.shouldRun(task) && round.stopReason(task) == TaskEnd.CANCELLED;
  }

  /**
   * Ends a placement that the worker reports as never started. A worker that lost its state reports
   * the same, so a task that must not run twice is placed again only if there is evidence that the
   * worker kept its state.
   */
  private Optional<TaskEnded> neverStarted(
      ReconcileRound round, TaskStatus task, LeaseEntry entry) {
    boolean repeatable = TaskTransitionPolicy.mayRunAgain(round.descriptionOf(task));
    boolean onlyStartRefused =
        !round.isFromEarlierOwner(task)
            && entry.stopSentAtMillis == 0
            && entry.report.state() == TaskReport.State.REFUSED;
    boolean stateRetained =
        entry.earliestReportedStartMillis > 0
            && entry.earliestReportedStartMillis + settings.clockDriftMillis()
                < task.placedAtMillis();
    if (repeatable || onlyStartRefused || stateRetained) {
      String answer = "worker " + task.workerId() + " did not start the task";
      return Optional.of(ended(round, task, TaskEnd.NOT_STARTED, answer));
    }
    // The next complete answer may show that the worker has kept its state.
    return entry.reportInCompleteAnswer || hasCertainlyEnded(round, task)
        ? Optional.of(lost(round, task))
        : Optional.empty();
  }

  private Optional<TaskEnded> endWithoutReport(
      ReconcileRound round, TaskStatus task, LeaseEntry entry) {
    if (!leases.mayHaveStarted(round, task)) {
      return entry.endDecided || !isStartAwaited(round, task)
          ? Optional.of(ended(round, task, TaskEnd.NOT_STARTED, "the task was not started in time"))
          : Optional.empty();
    }
    if (!hasCertainlyEnded(round, task)) {
      return Optional.empty();
    }
    return Optional.of(lost(round, task));
  }

  private boolean hasCertainlyEnded(ReconcileRound round, TaskStatus task) {
    return round.nowMillis() > leases.latestEndMillis(round, task);
  }

  private boolean isStartAwaited(ReconcileRound round, TaskStatus task) {
    WorkerLeaseState workerState = leases.workerState(task.workerId());
    long waitMillis =
        workerState.unreachable ? UNREACHABLE_START_TIMEOUT_MILLIS : lifeCycle.startTimeoutMillis();
    return round.shouldRun(task)
        && !round.zoneTakenOut()
        && !workerState.leaving
        && round.nowMillis() <= task.placedAtMillis() + waitMillis;
  }

  private static TaskEnded lost(ReconcileRound round, TaskStatus task) {
    String answer = "worker " + task.workerId() + " did not report how the task ended";
    TaskEnd end = isCancelled(round, task) ? TaskEnd.CANCELLED : TaskEnd.LOST;
    return ended(round, task, end, answer);
  }

  private static TaskEnded ended(
      ReconcileRound round, TaskStatus task, TaskEnd end, String answer) {
    return new TaskEnded(task.taskId(), task.attempt(), end, answer, round.nowMillis());
  }
}
