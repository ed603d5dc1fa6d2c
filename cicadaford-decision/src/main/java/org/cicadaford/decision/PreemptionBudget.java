package org.cicadaford.decision;

import java.util.HashMap;
import java.util.Map;
import org.cicadaford.decision.TaskStatus.Phase;
import org.cicadaford.model.Resources;
import org.cicadaford.model.TaskId;

/**
 * Limits the rate at which running tasks are stopped to make room, and tracks what each team loses
 * by pending stops, so that no team is taken below its share.
 */
final class PreemptionBudget {

  /** Time after which an unrecorded stop is considered lost with its batch, in milliseconds. */
  private static final long UNRECORDED_STOP_TIMEOUT_MILLIS = 5_000;

  private record Stop(String team, int attempt, Resources reserved, long sinceMillis) {}

  private final int stopsPerSecond;
  private final Map<TaskId, Stop> stops = new HashMap<>();
  private final Map<String, Resources> stoppingByTeam = new HashMap<>();
  private double tokens;
  private long refilledAtMillis = Long.MIN_VALUE;

  PreemptionBudget(int stopsPerSecond) {
    this.stopsPerSecond = stopsPerSecond;
    this.tokens = stopsPerSecond;
  }

  /** Refills the tokens and drops stops that have completed or were lost. */
  void refresh(ZoneState zone, long nowMillis) {
    if (refilledAtMillis != Long.MIN_VALUE) {
      double added = (nowMillis - refilledAtMillis) * stopsPerSecond / 1000.0;
      tokens = Math.min(stopsPerSecond, tokens + Math.max(0, added));
    }
    refilledAtMillis = nowMillis;
    stops
        .entrySet()
        .removeIf(entry -> !isPending(zone, entry.getKey(), entry.getValue(), nowMillis));
    stoppingByTeam.clear();
    stops.values().forEach(this::addToTeam);
  }

  private static boolean isPending(ZoneState zone, TaskId taskId, Stop stop, long nowMillis) {
    TaskStatus task = zone.task(taskId).orElse(null);
    if (task == null || task.attempt() != stop.attempt() || !task.isCommitted()) {
      return false;
    }
    return task.phase() == Phase.STOPPING
        || nowMillis - stop.sinceMillis() < UNRECORDED_STOP_TIMEOUT_MILLIS;
  }

  private void addToTeam(Stop stop) {
    stoppingByTeam.merge(stop.team(), stop.reserved(), Resources::plus);
  }

  boolean allows(int count) {
    return tokens >= count;
  }

  void recordStop(TaskStatus task, String team, long nowMillis) {
    Stop stop = new Stop(team, task.attempt(), task.reserved(), nowMillis);
    tokens--;
    if (stops.put(task.taskId(), stop) == null) {
      addToTeam(stop);
    }
  }

  /** Returns whether a stop of the placement is pending. */
  boolean isStopping(TaskStatus task) {
    Stop stop = stops.get(task.taskId());
    return stop != null && stop.attempt() == task.attempt();
  }

  /** Returns what the team loses by pending stops. */
  Resources stopping(String team) {
    return stoppingByTeam.getOrDefault(team, Resources.NONE);
  }
}
