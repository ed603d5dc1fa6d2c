package org.cicadaford.decision;

import java.util.HashMap;
import java.util.Map;
import org.cicadaford.model.JobKind;
import org.cicadaford.model.WorkerCommand.Lease;

/**
 * Holds the leases that an owner granted in its epoch, and upper bounds on those of earlier owners.
 */
final class LeaseTable {

  private final OwnerSettings settings;
  private final Map<String, WorkerLeaseState> workerStates = new HashMap<>();
  private LeaseHandover handOver;
  private long previousEpoch = ConfigState.NO_OFFSET;
  private long previousOwnersLastBatchAtMillis;
  private boolean earlierOwnersObserved;

  LeaseTable(OwnerSettings settings) {
    this.settings = settings;
  }

  WorkerLeaseState workerState(String workerId) {
    return workerStates.computeIfAbsent(workerId, id -> new WorkerLeaseState());
  }

  LeaseEntry entry(TaskStatus task) {
    return workerState(task.workerId()).entry(ReconcileRound.leaseOf(task));
  }

  Map<String, WorkerLeaseState> workerStates() {
    return workerStates;
  }

  void onHandOver(LeaseHandover received) {
    if (handOver == null || received.epoch() > handOver.epoch()) {
      handOver = received;
    }
  }

  /** Returns whether a worker may have received a start of this placement. */
  boolean mayHaveStarted(ReconcileRound round, TaskStatus task) {
    return round.isFromEarlierOwner(task) || entry(task).startSentAtMillis > 0;
  }

  /** Returns whether the outage grace period still allows granting leases to jobs of this kind. */
  boolean isWithinGrace(ReconcileRound round, JobKind kind) {
    return round.nowMillis() <= round.inputs().lastValidBatchAtMillis() + graceMillis(kind);
  }

  /**
   * Returns the time after which no worker can run the placement, even if delayed messages arrive;
   * 0 if it was never granted a lease.
   */
  long latestEndMillis(ReconcileRound round, TaskStatus task) {
    long untilMillis = lastLeaseUntilMillis(round, task);
    return untilMillis == 0 ? 0 : untilMillis + settings.clockDriftMillis();
  }

  private long lastLeaseUntilMillis(ReconcileRound round, TaskStatus task) {
    long untilMillis = entry(task).grantedUntilMillis;
    return round.isFromEarlierOwner(task)
        ? Math.max(untilMillis, earlierOwnersLeaseUntilMillis(round, task))
        : untilMillis;
  }

  /**
   * Returns the latest end of a lease that an earlier owner can have granted. A handover counts
   * only from the direct predecessor, because an owner in between may have granted later leases.
   */
  private long earlierOwnersLeaseUntilMillis(ReconcileRound round, TaskStatus task) {
    long graceBoundMillis =
        previousOwnersLastBatchAtMillis
            + graceMillis(round.descriptionOf(task).kind())
            + settings.leaseMillis();
    if (handOver == null || handOver.epoch() != previousEpoch) {
      return graceBoundMillis;
    }
    long handedOverMillis = handOver.leaseUntilMillisByWorker().getOrDefault(task.workerId(), 1L);
    return Math.min(graceBoundMillis, handedOverMillis);
  }

  private long graceMillis(JobKind kind) {
    return kind == JobKind.SERVICE
        ? settings.serviceOutageGraceMillis()
        : settings.batchOutageGraceMillis();
  }

  /** Reads the data about earlier owners; valid only while the state shows this owner's epoch. */
  void observeEarlierOwners(ZoneState zone) {
    earlierOwnersObserved = true;
    previousEpoch = zone.previousEpoch();
    previousOwnersLastBatchAtMillis = zone.previousOwnersLastBatchAtMillis();
  }

  /**
   * Returns the handover to the next owner; no lease may be granted after it. The state may already
   * show the next owner, whose placements are skipped. An owner replaced before its first round
   * uses the bounds that the state shows for the next owner, which are no earlier.
   */
  LeaseHandover handOver(ReconcileRound round) {
    if (!earlierOwnersObserved) {
      observeEarlierOwners(round.zone());
    }
    Map<String, Long> untilByWorker = new HashMap<>();
    workerStates.forEach(
        (workerId, workerState) ->
            workerState
                .entries
                .values()
                .forEach(
                    entry -> untilByWorker.merge(workerId, entry.grantedUntilMillis, Math::max)));
    for (WorkerStatus worker : round.zone().workers()) {
      for (TaskStatus task : round.zone().committedTasksOn(worker.workerId())) {
        if (task.placementEpoch() < round.epoch()) {
          long untilMillis = earlierOwnersLeaseUntilMillis(round, task);
          untilByWorker.merge(worker.workerId(), untilMillis, Math::max);
        }
      }
    }
    return new LeaseHandover(round.epoch(), untilByWorker);
  }

  /** Removes leases that are neither recorded nor running, and unlisted workers without leases. */
  void removeEnded(ReconcileRound round) {
    workerStates.entrySet().removeIf(workerState -> isRemovable(round, workerState.getKey()));
  }

  private boolean isRemovable(ReconcileRound round, String workerId) {
    Map<Lease, LeaseEntry> entries = workerState(workerId).entries;
    if (entries.size() > round.zone().committedTasksOn(workerId).size()) {
      entries
          .entrySet()
          .removeIf(
              entry ->
                  !entry.getValue().isRunning() && !isCommitted(round, workerId, entry.getKey()));
    }
    return entries.isEmpty() && round.zone().worker(workerId).isEmpty();
  }

  static boolean isCommitted(ReconcileRound round, String workerId, Lease lease) {
    return round
        .zone()
        .task(lease.taskId())
        .filter(TaskStatus::isCommitted)
        .filter(task -> task.attempt() == lease.attempt() && task.workerId().equals(workerId))
        .isPresent();
  }
}
