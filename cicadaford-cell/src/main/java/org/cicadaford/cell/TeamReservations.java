package org.cicadaford.cell;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.cicadaford.model.Resources;

/** Holds what is reserved of the limit of one team, by waiting step. */
final class TeamReservations {

  private final Map<StepRun, Integer> taskCountByStep = new LinkedHashMap<>();
  private final TreeMap<Integer, Resources> amountByPriority = new TreeMap<>();

  /** Reserves the demand of some tasks of a step. */
  void add(StepRun step, int taskCount) {
    taskCountByStep.put(step, taskCount);
    amountByPriority.merge(
        step.job().queue().priority(), step.spec().demand().times(taskCount), Resources::plus);
  }

  /** Releases the reservation of a task that has been placed, if there is one. */
  void taskPlaced(StepRun step) {
    Integer count = taskCountByStep.get(step);
    if (count == null) {
      return;
    }
    if (count > 1) {
      taskCountByStep.put(step, count - 1);
    } else {
      taskCountByStep.remove(step);
    }
    amountByPriority.computeIfPresent(
        step.job().queue().priority(), (key, amount) -> amount.minus(step.spec().demand()));
  }

  boolean isEmpty() {
    return taskCountByStep.isEmpty();
  }

  /** Returns the steps with reservations, in scheduling order. */
  Set<StepRun> steps() {
    return taskCountByStep.keySet();
  }

  /** Returns the amount reserved for a step. */
  Resources amountFor(StepRun step) {
    return step.spec().demand().times(taskCountByStep.getOrDefault(step, 0));
  }

  /** Returns the amount reserved for queues that are more urgent than a priority. */
  Resources amountBefore(int priority) {
    return amountByPriority.headMap(priority).values().stream()
        .reduce(Resources.NONE, Resources::plus);
  }

  /** Returns the amount reserved for all steps. */
  Resources total() {
    return amountByPriority.values().stream().reduce(Resources.NONE, Resources::plus);
  }
}
