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
 * Preempts tasks of a team whose limit keeps its more urgent tasks from starting in time.
 *
 * <p>Designed for bursts of short urgent jobs of a team whose batch jobs use its whole limit. Only
 * tasks with checkpoints are preempted: they are saved and lose just the time of a restart. Nothing
 * is preempted for work that has missed its objective or exceeds the share of the team.
 */
final class LimitPreemptor {

  private final CellState state;
  private final Map<String, Set<Placement>> preemptableByTeam = new HashMap<>();

  LimitPreemptor(CellState state) {
    this.state = state;
  }

  /** Records a new placement. */
  void placed(Placement placement) {
    StepSpec spec = placement.task().step().spec();
    if (spec.checkpointing() && !spec.gang() && !spec.longRunning()) {
      preemptableByTeam
          .computeIfAbsent(team(placement), key -> new LinkedHashSet<>())
          .add(placement);
    }
  }

  /** Removes a released placement. */
  void released(Placement placement) {
    Set<Placement> placements = preemptableByTeam.get(team(placement));
    if (placements != null && placements.remove(placement) && placements.isEmpty()) {
      preemptableByTeam.remove(team(placement));
    }
  }

  private static String team(Placement placement) {
    return placement.task().step().job().team();
  }

  /** Stops as many tasks of a team as its waiting urgent steps need. */
  void preempt(String team, Set<StepRun> limited, ClockReading now) {
    Optional<TeamShare> share = state.config().team(team);
    Set<Placement> preemptable = preemptableByTeam.get(team);
    if (share.isEmpty() || preemptable == null) {
      return;
    }
    int leastUrgent = preemptable.stream().mapToInt(LimitPreemptor::priority).max().orElse(0);
    Resources missing = Resources.NONE;
    int mostUrgent = leastUrgent;
    for (StepRun step : limited) {
      int priority = step.job().queue().priority();
      if (priority < leastUrgent && worthPreempting(step, now)) {
        missing = missing.plus(step.spec().demand().times(step.waitingTasks().size()));
        mostUrgent = Math.min(mostUrgent, priority);
      }
    }
    stop(share.get(), missing, mostUrgent, preemptable, now);
  }

  private static boolean worthPreempting(StepRun step, ClockReading now) {
    return !step.job().definition().excess() && now.unixMillis() <= step.latestOnTimeStartMillis();
  }

  private void stop(
      TeamShare share,
      Resources missing,
      int priority,
      Set<Placement> preemptable,
      ClockReading now) {
    Resources after = state.usageTracker().usageOf(share.name()).plus(missing);
    List<Placement> candidates = new ArrayList<>();
    for (Placement placement : preemptable) {
      if (placement.stopRequested()) {
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
