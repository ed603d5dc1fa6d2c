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
 * <p>Designed for bursts of short urgent jobs and for gangs of a team whose batch jobs use its
 * whole limit. Only tasks with checkpoints are preempted: they are saved and lose just the time of
 * a restart. What is preempted stays reserved for the step that it was preempted for, see {@link
 * LimitReservations}.
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

  /** Stops tasks of a team until its waiting steps can use what is reserved for them. */
  void preempt(String team, ClockReading now) {
    Optional<TeamShare> share = state.config().team(team);
    Set<Placement> preemptable = preemptableByTeam.get(team);
    if (share.isEmpty() || preemptable == null) {
      return;
    }
    Resources after = state.usageTracker().usageOf(team);
    List<Placement> candidates = new ArrayList<>();
    for (Placement placement : preemptable) {
      if (placement.stopRequested()) {
        after = after.minus(demand(placement));
      } else if (mayBePreempted(placement, now)) {
        candidates.add(placement);
      }
    }
    candidates.sort(
        Comparator.<Placement>comparingInt(placement -> -priority(placement))
            .thenComparingLong(placement -> -placement.orderedAtMillis())
            .thenComparing(placement -> placement.task().name()));
    TeamReservations reservations = state.limitReservations().of(team);
    for (StepRun step : reservations.steps()) {
      Resources amount = reservations.amountFor(step);
      after = after.plus(amount);
      if (step.latestOnTimeStartMillis() - now.unixMillis()
          > state.settings().bounds().preemptionLeadMillis()) {
        // Until then, capacity that tasks of the team release is kept for the step.
        continue;
      }
      List<Placement> chosen = choose(share.get(), step, after, candidates);
      for (Placement placement : chosen) {
        after = after.minus(demand(placement));
        placement.task().markPreempted();
        state.stop(placement, StopReason.PREEMPTED, now.monotonicMillis());
      }
      candidates.removeAll(chosen);
      if (step.spec().gang() && !share.get().allows(after)) {
        // The gang does not start, so later steps need no capacity for it.
        after = after.minus(amount);
      }
    }
  }

  private boolean mayBePreempted(Placement placement, ClockReading now) {
    long runMillis = now.monotonicMillis() - placement.orderedAtMillis();
    return placement.stage() == Placement.Stage.RUNNING
        && (!placement.task().preemptedBefore()
            || runMillis >= state.settings().bounds().minResumedRunMillis());
  }

  /**
   * Returns the tasks to preempt for a step. Nothing is preempted for a gang unless all of its
   * tasks can start.
   */
  private static List<Placement> choose(
      TeamShare share, StepRun step, Resources usage, List<Placement> candidates) {
    List<Placement> chosen = new ArrayList<>();
    Resources after = usage;
    for (Placement candidate : candidates) {
      if (share.allows(after)) {
        return chosen;
      }
      if (priority(candidate) > step.job().queue().priority()) {
        chosen.add(candidate);
        after = after.minus(demand(candidate));
      }
    }
    return step.spec().gang() && !share.allows(after) ? List.of() : chosen;
  }

  private static Resources demand(Placement placement) {
    return placement.task().step().spec().demand();
  }

  private static int priority(Placement placement) {
    return placement.task().step().job().queue().priority();
  }
}
