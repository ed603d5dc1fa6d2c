package org.cicadaford.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.cicadaford.model.TaskEnd;
import org.cicadaford.model.ZoneChange.TaskStopping;

/**
 * Stops movable tasks on workers that are leaving, at a limited rate. Tasks that must not run twice
 * and have no checkpoint run to completion.
 *
 * <p>A zone that is taken out is not evacuated: its tasks cannot move to another zone yet, so
 * stopping them would only lose their work.
 */
final class EvacuationPlanner {

  private final LeaseTable leases;
  private final LifeCycleSettings lifeCycle;
  private final RateLimiter rateLimiter;

  EvacuationPlanner(LeaseTable leases, LifeCycleSettings lifeCycle, RateLimiter rateLimiter) {
    this.leases = leases;
    this.lifeCycle = lifeCycle;
    this.rateLimiter = rateLimiter;
  }

  List<TaskStopping> decide(
      ReconcileRound round, WorkerLeaseState workerState, Collection<TaskStatus> committedTasks) {
    List<TaskStopping> changes = new ArrayList<>();
    if (!workerState.leaving) {
      return changes;
    }
    for (TaskStatus task : committedTasks) {
      LeaseEntry entry = leases.entry(task);
      boolean decidedBefore =
          entry.stopDecidedAtMillis > 0
              && round.nowMillis() < entry.stopDecidedAtMillis + lifeCycle.resendMillis();
      boolean candidate =
          round.shouldRun(task)
              && leases.mayHaveStarted(round, task)
              && !entry.hasEnded()
              && !entry.endDecided
              && !decidedBefore
              && TaskTransitionPolicy.isMovable(round.descriptionOf(task));
      if (candidate && rateLimiter.tryAcquire(round.nowMillis())) {
        entry.stopDecidedAtMillis = round.nowMillis();
        changes.add(new TaskStopping(task.taskId(), task.attempt(), TaskEnd.EVACUATED));
      }
    }
    return changes;
  }
}
