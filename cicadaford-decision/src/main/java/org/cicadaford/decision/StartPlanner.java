package org.cicadaford.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.WorkerCommand;

/** Plans the start commands of recorded placements. */
final class StartPlanner {

  /** Time after which a start of a repeatable task is sent again, in milliseconds. */
  private static final long RESEND_MILLIS = 500;

  private final LeaseTable leases;
  private final OwnerSettings settings;
  private final RateLimiter rateLimiter;

  StartPlanner(LeaseTable leases, OwnerSettings settings, RateLimiter rateLimiter) {
    this.leases = leases;
    this.settings = settings;
    this.rateLimiter = rateLimiter;
  }

  /** Starts the most urgent tasks first, within the rate limit. */
  List<AddressedCommand> decide(ReconcileRound round, List<TaskStatus> candidates) {
    List<AddressedCommand> commands = new ArrayList<>();
    if (!areStartsAllowed(round)) {
      return commands;
    }
    List<TaskStatus> sorted = new ArrayList<>(candidates);
    sorted.sort(
        Comparator.<TaskStatus, Integer>comparing(
                task -> round.descriptionOf(task).urgency().ordinal())
            .thenComparing(TaskStatus::placedAtMillis)
            .thenComparing(TaskStatus::taskId));
    for (TaskStatus task : sorted) {
      if (!leases.isWithinGrace(round, round.descriptionOf(task).kind())) {
        continue;
      }
      if (!rateLimiter.tryAcquire(round.nowMillis())) {
        break;
      }
      commands.add(start(round, task));
    }
    return commands;
  }

  private boolean areStartsAllowed(ReconcileRound round) {
    long confirmedAtMillis = round.inputs().configConfirmedAtMillis();
    return !round.zoneTakenOut()
        && round.inputs().config().isComplete()
        && round.nowMillis() - confirmedAtMillis <= settings.configFreshMillis()
        && round.nowMillis() < confirmedAtMillis + settings.firstLeaseMillis();
  }

  /** Returns whether the placement still needs its first start. */
  boolean isCandidate(ReconcileRound round, TaskStatus task, WorkerLeaseState workerState) {
    LeaseEntry entry = leases.entry(task);
    return !leases.mayHaveStarted(round, task)
        && round.shouldRun(task)
        && !entry.endDecided
        && !workerState.leaving
        && !workerState.unreachable;
  }

  /**
   * Returns whether an unanswered start should be sent again. It keeps the lease of the first
   * start, and a task that must not run twice gets only one start.
   */
  boolean isResendDue(ReconcileRound round, TaskStatus task, WorkerLeaseState workerState) {
    LeaseEntry entry = leases.entry(task);
    return entry.startSentAtMillis > 0
        && entry.report == null
        && round.shouldRun(task)
        && !entry.endDecided
        && !workerState.unreachable
        && entry.stopSentAtMillis == 0
        && round.nowMillis() >= entry.startResentAtMillis + RESEND_MILLIS
        && round.nowMillis() < entry.startLeaseUntilMillis
        && TaskTransitionPolicy.mayRunAgain(round.descriptionOf(task));
  }

  AddressedCommand resend(ReconcileRound round, TaskStatus task) {
    LeaseEntry entry = leases.entry(task);
    entry.startResentAtMillis = round.nowMillis();
    return toCommand(round, task, entry.startLeaseUntilMillis);
  }

  private AddressedCommand start(ReconcileRound round, TaskStatus task) {
    long untilMillis = round.inputs().configConfirmedAtMillis() + settings.firstLeaseMillis();
    LeaseEntry entry = leases.entry(task);
    entry.startSentAtMillis = round.nowMillis();
    entry.startResentAtMillis = round.nowMillis();
    entry.startLeaseUntilMillis = untilMillis;
    entry.grant(untilMillis);
    return toCommand(round, task, untilMillis);
  }

  private static AddressedCommand toCommand(
      ReconcileRound round, TaskStatus task, long untilMillis) {
    JobDescription description = round.descriptionOf(task);
    return new AddressedCommand(
        task.workerId(),
        new WorkerCommand.Start(
            ReconcileRound.leaseOf(task),
            task.reserved(),
            description.program(),
            description.expectedRunMillis(),
            untilMillis));
  }
}
