package org.cicadaford.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.TaskEnd;
import org.cicadaford.model.WorkerCommand;
import org.cicadaford.model.WorkerCommand.Lease;

/**
 * Plans stop commands and repeats them until workers confirm them: for tasks that should not run,
 * for placements that the worker does not know (so that it refuses a delayed start), and for
 * unrecorded leases.
 */
final class StopPlanner {

  private final LeaseTable leases;
  private final LifeCycleSettings lifeCycle;

  StopPlanner(LeaseTable leases, LifeCycleSettings lifeCycle) {
    this.leases = leases;
    this.lifeCycle = lifeCycle;
  }

  List<AddressedCommand> decide(
      ReconcileRound round, String workerId, Collection<TaskStatus> committedTasks) {
    List<AddressedCommand> commands = new ArrayList<>();
    for (TaskStatus task : committedTasks) {
      LeaseEntry entry = leases.entry(task);
      if (entry.hasEnded() || !leases.mayHaveStarted(round, task)) {
        continue;
      }
      boolean shouldRun = round.shouldRun(task);
      if ((!shouldRun || isUnknownToWorker(round, task, entry)) && isSendDue(round, entry)) {
        boolean withCheckpoint = isCheckpointed(round, task);
        commands.add(stop(round, workerId, ReconcileRound.leaseOf(task), entry, withCheckpoint));
      }
    }
    for (Map.Entry<Lease, LeaseEntry> known : leases.workerState(workerId).entries.entrySet()) {
      if (isUnrecorded(round, workerId, known.getKey(), known.getValue())) {
        commands.add(stop(round, workerId, known.getKey(), known.getValue(), false));
      }
    }
    return commands;
  }

  /**
   * Returns whether the worker does not know the placement. If this owner sent the start, this
   * holds only after its lease has expired, because the start may still be in transit.
   */
  private static boolean isUnknownToWorker(
      ReconcileRound round, TaskStatus task, LeaseEntry entry) {
    return entry.absent
        && (round.isFromEarlierOwner(task) || round.nowMillis() > entry.grantedUntilMillis);
  }

  /**
   * Returns whether a running lease certainly belongs to no current placement. A replaced owner
   * that does not know it yet sees tasks of its successor and must not stop them, so the report has
   * to be older than a batch of this owner that was read back as valid.
   */
  private boolean isUnrecorded(
      ReconcileRound round, String workerId, Lease lease, LeaseEntry entry) {
    return entry.isRunning()
        && round.inputs().lastValidBatchAtMillis() > entry.reportReceivedAtMillis
        && isSendDue(round, entry)
        && !LeaseTable.isCommitted(round, workerId, lease);
  }

  private boolean isSendDue(ReconcileRound round, LeaseEntry entry) {
    return entry.stopSentAtMillis == 0
        || round.nowMillis() >= entry.stopSentAtMillis + lifeCycle.resendMillis();
  }

  private static boolean isCheckpointed(ReconcileRound round, TaskStatus task) {
    JobDescription description = round.descriptionOf(task);
    return description.checkpointable() && round.stopReason(task) != TaskEnd.CANCELLED;
  }

  private static AddressedCommand stop(
      ReconcileRound round,
      String workerId,
      Lease lease,
      LeaseEntry entry,
      boolean withCheckpoint) {
    entry.stopSentAtMillis = round.nowMillis();
    return new AddressedCommand(workerId, new WorkerCommand.Stop(lease, withCheckpoint));
  }
}
