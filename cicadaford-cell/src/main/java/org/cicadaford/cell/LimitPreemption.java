package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cicadaford.model.Resources;

/**
 * Stops work of a team whose limit keeps more urgent work of the same team from starting in time.
 *
 * <p>The load that it answers is a burst of short urgent jobs of a team whose batch jobs run up to
 * its limit. Only tasks with checkpoints are stopped: they are saved at the stop and lose the time
 * of a restart. Nothing is stopped for work that has missed its objective or exceeds the team's
 * share.
 */
final class LimitPreemption {

  private final CellState state;
  private final Map<String, Set<Placement>> stoppableByTeam = new HashMap<>();

  LimitPreemption(CellState state) {
    this.state = state;
  }

  /** Notes a run that has been placed. */
  void placed(Placement placement) {
    StepSpec spec = placement.task().step().spec();
    if (spec.checkpointing() && !spec.gang() && !spec.longRunning()) {
      stoppableByTeam.computeIfAbsent(team(placement), key -> new LinkedHashSet<>()).add(placement);
    }
  }

  /** Notes a run whose room is free again. */
  void released(Placement placement) {
    Set<Placement> placements = stoppableByTeam.get(team(placement));
    if (placements != null && placements.remove(placement) && placements.isEmpty()) {
      stoppableByTeam.remove(team(placement));
    }
  }

  private static String team(Placement placement) {
    return placement.task().step().job().team();
  }

  /** Stops as much work of a team as its waiting urgent steps lack, if there is any to stop. */
  void makeRoom(String team, Set<StepRun> limited, ClockReading now) {
    Optional<TeamShare> share = state.config().team(team);
    Set<Placement> stoppable = stoppableByTeam.get(team);
    if (share.isEmpty() || stoppable == null) {
      return;
    }
    int leastUrgent = stoppable.stream().mapToInt(LimitPreemption::priority).max().orElse(0);
    Resources wanted = Resources.NONE;
    int mostUrgent = leastUrgent;
    for (StepRun step : limited) {
      int priority = step.job().queue().priority();
      if (priority < leastUrgent && worthStopping(step, now)) {
        wanted = wanted.plus(step.spec().demand().times(step.waitingTasks().size()));
        mostUrgent = Math.min(mostUrgent, priority);
      }
    }
    stop(share.get(), wanted, mostUrgent, stoppable, now);
  }

  private static boolean worthStopping(StepRun step, ClockReading now) {
    return !step.job().definition().excess() && now.unixMillis() <= step.onTimeStartMillis();
  }

  private void stop(
      TeamShare share, Resources wanted, int priority, Set<Placement> stoppable, ClockReading now) {
    Resources after = state.limits().usageOf(share.name()).plus(wanted);
    List<Placement> candidates = new ArrayList<>();
    for (Placement placement : stoppable) {
      if (placement.stopWanted()) {
        after = after.minus(demand(placement));
      } else if (placement.stage() == Placement.Stage.RUNNING && priority(placement) > priority) {
        candidates.add(placement);
      }
    }
    candidates.sort(
        Comparator.<Placement>comparingInt(placement -> -priority(placement))
            .thenComparingLong(placement -> -placement.orderedAtMillis())
            .thenComparing(placement -> placement.task().name()));
    for (Placement candidate : candidates) {
      if (share.allows(after)) {
        return;
      }
      after = after.minus(demand(candidate));
      state.stop(candidate, StopReason.PREEMPTED, now.monotonicMillis());
    }
  }

  private static Resources demand(Placement placement) {
    return placement.task().step().spec().demand();
  }

  private static int priority(Placement placement) {
    return placement.task().step().job().queue().priority();
  }
}
