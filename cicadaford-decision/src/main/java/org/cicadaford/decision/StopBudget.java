package org.cicadaford.decision;

import java.util.HashMap;
import java.util.Map;
import org.cicadaford.decision.TaskStatus.Phase;
import org.cicadaford.model.Resources;
import org.cicadaford.model.TaskId;

/**
 * Bounds the rate at which running tasks are stopped to make room, and knows what each team loses
 * by the stops that are on their way, so that no team is taken below its share.
 */
final class StopBudget {

  /** Time after which a stop that is not recorded is taken as lost with its batch. */
  private static final long UNRECORDED_STOP_MILLIS = 5_000;

  private record Stop(String team, int attempt, Resources reserved, long sinceMillis) {}

  private final int stopsPerSecond;
  private final Map<TaskId, Stop> stops = new HashMap<>();
  private final Map<String, Resources> stoppingByTeam = new HashMap<>();
  private double tokens;
  private long refilledAtMillis = Long.MIN_VALUE;

  StopBudget(int stopsPerSecond) {
    this.stopsPerSecond = stopsPerSecond;
    this.tokens = stopsPerSecond;
  }

  /** Follows the time and the recorded state. */
  void refresh(ZoneState zone, long nowMillis) {
    if (refilledAtMillis != Long.MIN_VALUE) {
      double added = (nowMillis - refilledAtMillis) * stopsPerSecond / 1000.0;
      tokens = Math.min(stopsPerSecond, tokens + Math.max(0, added));
    }
    refilledAtMillis = nowMillis;
    stops
        .entrySet()
        .removeIf(entry -> !isComing(zone, entry.getKey(), entry.getValue(), nowMillis));
    stoppingByTeam.clear();
    stops.values().forEach(this::addToTeam);
  }

  private static boolean isComing(ZoneState zone, TaskId taskId, Stop stop, long nowMillis) {
    TaskStatus task = zone.task(taskId).orElse(null);
    if (task == null || task.attempt() != stop.attempt() || !task.isCommitted()) {
      return false;
    }
    return task.phase() == Phase.STOPPING
        || nowMillis - stop.sinceMillis() < UNRECORDED_STOP_MILLIS;
  }

  private void addToTeam(Stop stop) {
    stoppingByTeam.merge(stop.team(), stop.reserved(), Resources::plus);
  }

  boolean allows(int count) {
    return tokens >= count;
  }

  void use(TaskStatus task, String team, long nowMillis) {
    Stop stop = new Stop(team, task.attempt(), task.reserved(), nowMillis);
    tokens--;
    if (stops.put(task.taskId(), stop) == null) {
      addToTeam(stop);
    }
  }

  /** Returns whether the stop of a placement is on its way. */
  boolean isStopping(TaskStatus task) {
    Stop stop = stops.get(task.taskId());
    return stop != null && stop.attempt() == task.attempt();
  }

  /** Returns what the team loses by the stops on their way. */
  Resources stopping(String team) {
    return stoppingByTeam.getOrDefault(team, Resources.NONE);
  }
}
