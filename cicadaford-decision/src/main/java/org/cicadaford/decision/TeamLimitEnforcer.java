package org.cicadaford.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobKind;

/**
 * Stops tasks of a team whose limit was reduced below its usage in the zone.
 *
 * <p>The most recently placed task is stopped first, as it has done the least work. Non-repeatable
 * tasks and gang jobs run to completion; until then they only prevent new tasks of the team from
 * starting.
 */
final class TeamLimitEnforcer {

  private static final long INTERVAL_MILLIS = 1_000;

  private long lastRunAtMillis = Long.MIN_VALUE / 2;

  void decide(PlacementRound round) {
    if (round.nowMillis() - lastRunAtMillis < INTERVAL_MILLIS) {
      return;
    }
    lastRunAtMillis = round.nowMillis();
    for (String team : round.zone().teamsWithCommitted()) {
      long excess = round.excessMillicores(team);
      if (excess > 0) {
        stopExcess(round, team, excess);
      }
    }
  }

  private void stopExcess(PlacementRound round, String team, long excessMillicores) {
    List<TaskStatus> candidates = new ArrayList<>();
    long excessLeft = excessMillicores;
    for (WorkerSlot slot : round.index().slots()) {
      for (TaskStatus task : round.zone().committedTasksOn(slot.workerId)) {
        JobDescription description = round.job(task).description();
        if (!description.team().equals(team)) {
          continue;
        }
        if (round.isStopping(task)) {
          excessLeft -= task.reserved().processorsMillicores();
        } else if (description.repeatable() && description.kind() != JobKind.GANG) {
          candidates.add(task);
        }
      }
    }
    candidates.sort(
        Comparator.comparingLong((TaskStatus task) -> -task.placedAtMillis())
            .thenComparing(TaskStatus::taskId));
    for (TaskStatus task : candidates) {
      if (excessLeft <= 0 || !round.stopToMakeRoom(task)) {
        return;
      }
      excessLeft -= task.reserved().processorsMillicores();
    }
  }
}
