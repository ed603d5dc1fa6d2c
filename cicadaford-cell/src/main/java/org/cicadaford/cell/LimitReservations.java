package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cicadaford.model.Resources;

/**
 * Reserves parts of the limit of a team for waiting steps of its more urgent queues.
 *
 * <p>Designed for gangs and bursts of urgent jobs of a team whose batch tasks use its whole limit.
 * Without reservations, each amount that a batch task releases goes to the next batch task before
 * there is enough for the more urgent step, and what is preempted for it is started again.
 */
final class LimitReservations {

  /**
   * Time after which a step is exempt from reservations while its team uses less than half of its
   * limit, in milliseconds. A job without running tasks, or a lost long-running task, has to start
   * within 3 s then.
   */
  private static final long EXEMPT_AFTER_MILLIS = 2_000;

  private static final TeamReservations NO_RESERVATIONS = new TeamReservations();

  private final CellState state;
  private final Map<String, TeamReservations> reservationsByTeam = new HashMap<>();

  LimitReservations(CellState state) {
    this.state = state;
  }

  /** Renews the reservations of all teams for the steps that wait for the usage to decrease. */
  void renew(Map<String, Set<StepRun>> limitedByTeam, ClockReading now) {
    Set<String> teams = new LinkedHashSet<>(reservationsByTeam.keySet());
    teams.addAll(limitedByTeam.keySet());
    for (String team : teams) {
      Set<StepRun> limited = limitedByTeam.getOrDefault(team, Set.of());
      TeamReservations renewed =
          state
              .config()
              .team(team)
              .map(share -> reserve(share, candidates(team, limited, now)))
              .orElse(NO_RESERVATIONS);
      if (renewed.isEmpty()) {
        reservationsByTeam.remove(team);
      } else {
        reservationsByTeam.put(team, renewed);
      }
    }
  }

  /** Returns the steps that reservations are useful for, in scheduling order. */
  private List<StepRun> candidates(String team, Set<StepRun> limited, ClockReading now) {
    Set<StepRun> steps = new LinkedHashSet<>(of(team).steps());
    steps.addAll(limited);
    int leastUrgent = state.usageTracker().leastUrgentPriority(team);
    for (StepRun step : limited) {
      leastUrgent = Math.max(leastUrgent, step.job().queue().priority());
    }
    List<StepRun> candidates = new ArrayList<>();
    for (StepRun step : steps) {
      boolean moreUrgent = step.job().queue().priority() < leastUrgent;
      if (moreUrgent && waits(step) && canBeOnTime(step, now)) {
        candidates.add(step);
      }
    }
    candidates.sort(StepOrder.at(now.unixMillis()));
    return candidates;
  }

  private boolean waits(StepRun step) {
    return state.waiting().all().contains(step) && step.placeable();
  }

  private static boolean canBeOnTime(StepRun step, ClockReading now) {
    return !step.job().definition().excess() && now.unixMillis() <= step.latestOnTimeStartMillis();
  }

  /** Reserves what less urgent queues of the team use or the limit leaves free. */
  private TeamReservations reserve(TeamShare share, List<StepRun> candidates) {
    TeamReservations reservations = new TeamReservations();
    for (StepRun step : candidates) {
      int priority = step.job().queue().priority();
      Resources used = state.usageTracker().usageUpTo(share.name(), priority);
      int count = tasksWithin(share, used.plus(reservations.total()), step);
      if (count > 0) {
        reservations.add(step, count);
      }
    }
    return reservations;
  }

  /** Returns how many waiting tasks of a step fit into the rest of the limit; all for a gang. */
  private static int tasksWithin(TeamShare share, Resources used, StepRun step) {
    Resources demand = step.spec().demand();
    int waiting = step.waitingCount();
    if (step.spec().gang()) {
      return share.allows(used.plus(demand.times(waiting))) ? waiting : 0;
    }
    int count = 0;
    while (count < waiting && share.allows(used.plus(demand.times(count + 1)))) {
      count++;
    }
    return count;
  }

  /** Returns the teams with reservations. */
  Set<String> teams() {
    return reservationsByTeam.keySet();
  }

  /** Returns the reservations of a team. */
  TeamReservations of(String team) {
    return reservationsByTeam.getOrDefault(team, NO_RESERVATIONS);
  }

  /** Releases the reservation of a task that has been placed. */
  void taskPlaced(StepRun step) {
    of(step.job().team()).taskPlaced(step);
  }

  /** Returns the amount of the limit of its team that a step has to leave to more urgent queues. */
  Resources reservedAgainst(StepRun step, TeamShare share, ClockReading now) {
    TeamReservations reservations = of(share.name());
    if (reservations.isEmpty() || exempt(step, share, now)) {
      return Resources.NONE;
    }
    return reservations.amountBefore(step.job().queue().priority());
  }

  private boolean exempt(StepRun step, TeamShare share, ClockReading now) {
    Resources used = state.usageTracker().usageOf(share.name());
    return step.limitedFor(now.monotonicMillis(), EXEMPT_AFTER_MILLIS)
        && share.allows(used.plus(used))
        && (step.spec().longRunning() || step.job().placements().isEmpty());
  }
}
