package org.cicadaford.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.cicadaford.model.TaskEnd;
import org.cicadaford.model.ZoneChange.TaskStopping;

/**
 * Empties workers that leave, at a bounded rate. Tasks that must not run twice and have no
 * checkpoint run to their end.
 *
 * <p>A zone that is taken out is not emptied: its tasks cannot be moved to another zone yet, so a
 * stop would only lose the work that they still do.
 */
final class EvacuationPlanner {

  private final LeaseTable leases;
  private final LifeCycleSettings lifeCycle;
  private final RateBudget budget;

  EvacuationPlanner(LeaseTable leases, LifeCycleSettings lifeCycle, RateBudget budget) {
    this.leases = leases;
    this.lifeCycle = lifeCycle;
    this.budget = budget;
  }

  List<TaskStopping> decide(
      KeeperRound round, WorkerContact contact, Collection<TaskStatus> committedTasks) {
    List<TaskStopping> changes = new ArrayList<>();
    if (!contact.leaving) {
      return changes;
    }
    for (TaskStatus task : committedTasks) {
      LeaseEntry entry = leases.entry(task);
      boolean decidedBefore =
          entry.stopDecidedAtMillis > 0
              && round.nowMillis() < entry.stopDecidedAtMillis + lifeCycle.resendMillis();
      boolean candidate =
          round.isWanted(task)
              && leases.mayHaveStarted(round, task)
              && !entry.hasEnded()
              && !entry.endDecided
              && !decidedBefore
              && TaskTransitions.isMovable(round.descriptionOf(task));
      if (candidate && budget.take(round.nowMillis())) {
        entry.stopDecidedAtMillis = round.nowMillis();
        changes.add(new TaskStopping(task.taskId(), task.attempt(), TaskEnd.EVACUATED));
      }
    }
    return changes;
  }
}
