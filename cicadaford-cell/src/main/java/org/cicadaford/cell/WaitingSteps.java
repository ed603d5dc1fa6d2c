package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.cicadaford.model.Resources;

/**
 * Holds the steps with unplaced tasks and the condition that each of them waits for.
 *
 * <p>A step is retried when its condition has changed: capacity of a permitted worker, usage of its
 * team, or advice. The cost of a decision therefore depends on the changes, not on the backlog.
 */
final class WaitingSteps {

  private final Set<StepRun> steps = new LinkedHashSet<>();
  private final Set<StepRun> due = new LinkedHashSet<>();
  private final Map<String, Set<StepRun>> byPermittedWorker = new HashMap<>();
  private final Map<String, Set<StepRun>> unrestrictedByService = new HashMap<>();
  private final Map<String, Set<StepRun>> limitedByTeam = new HashMap<>();
  private final Set<StepRun> awaitingWorkers = new LinkedHashSet<>();

  /**
   * Adds a step, or marks it for a retry if it is already present.
   *
   * @param service service whose workers run it
   * @param advised whether only workers with a ticket may run it
   */
  void add(StepRun step, String service, boolean advised) {
    due.add(step);
    if (!steps.add(step)) {
      return;
    }
    if (advised) {
      step.tickets().keySet().forEach(workerId -> permit(step, workerId));
    } else {
      unrestrictedByService.computeIfAbsent(service, key -> new LinkedHashSet<>()).add(step);
    }
  }

  /** Records that a waiting step may run on a worker. */
  void permit(StepRun step, String workerId) {
    if (steps.contains(step)) {
      byPermittedWorker.computeIfAbsent(workerId, key -> new LinkedHashSet<>()).add(step);
    }
  }

  /** Removes a step that has no unplaced tasks left. */
  void remove(StepRun step) {
    due.remove(step);
    if (!steps.remove(step)) {
      return;
    }
    step.tickets().keySet().forEach(workerId -> removeFrom(byPermittedWorker, workerId, step));
    unrestrictedByService.values().forEach(waiting -> waiting.remove(step));
    removeFrom(limitedByTeam, step.job().team(), step);
    awaitingWorkers.remove(step);
  }

  /** Records that a step may no longer run on a worker. */
  void forbid(StepRun step, String workerId) {
    removeFrom(byPermittedWorker, workerId, step);
  }

  private static <K> void removeFrom(Map<K, Set<StepRun>> index, K key, StepRun step) {
    Set<StepRun> waiting = index.get(key);
    if (waiting != null && waiting.remove(step) && waiting.isEmpty()) {
      index.remove(key);
    }
  }

  /** Records that a step waits for workers that advice can be requested on. */
  void awaitWorkers(StepRun step) {
    awaitingWorkers.add(step);
  }

  /** Retries the steps that wait for workers that advice can be requested on. */
  void retryAwaitingWorkers() {
    due.addAll(awaitingWorkers);
    awaitingWorkers.clear();
  }

  /** Records that a step waits for the usage of its team to decrease. */
  void markLimited(StepRun step) {
    limitedByTeam.computeIfAbsent(step.job().team(), key -> new LinkedHashSet<>()).add(step);
  }

  /** Retries the steps that wait for the usage of a team to decrease. */
  void retryTeam(String team) {
    Set<StepRun> limited = limitedByTeam.remove(team);
    if (limited != null) {
      due.addAll(limited);
    }
  }

  /** Retries the steps that wait for their team limit and are now allowed to run. */
  void retryAllowed(Predicate<StepRun> allowed) {
    limitedByTeam.values().forEach(steps -> steps.stream().filter(allowed).forEach(due::add));
  }

  /** Returns the steps that wait for the usage of their team to decrease, by team. */
  Map<String, Set<StepRun>> limitedByTeam() {
    return limitedByTeam;
  }

  private boolean isLimited(StepRun step) {
    return limitedByTeam.getOrDefault(step.job().team(), Set.of()).contains(step);
  }

  /** Retries the steps that fit into the free capacity of a worker. */
  void retryOnWorker(Worker worker) {
    Resources free = worker.free();
    Set<StepRun> permitted = byPermittedWorker.getOrDefault(worker.id(), Set.of());
    Set<StepRun> unrestricted =
        unrestrictedByService.getOrDefault(worker.listing().service(), Set.of());
    for (Set<StepRun> waiting : List.of(permitted, unrestricted)) {
      for (StepRun step : waiting) {
        if (step.spec().reservation().fitsIn(free) && !isLimited(step)) {
          due.add(step);
        }
      }
    }
  }

  /** Retries the steps whose retry interval has elapsed. */
  void tick(long nowMillis) {
    for (StepRun step : steps) {
      if (step.tryDue(nowMillis)) {
        due.add(step);
      }
    }
  }

  /** Retries all steps. */
  void retryAll() {
    due.addAll(steps);
  }

  boolean anyDue() {
    return !due.isEmpty();
  }

  /** Returns and clears the steps due for a placement attempt, in the given order. */
  List<StepRun> takeDue(Comparator<StepRun> order) {
    List<StepRun> taken = new ArrayList<>(due);
    due.clear();
    // The attempt checks again whether the team is at its limit.
    taken.forEach(step -> removeFrom(limitedByTeam, step.job().team(), step));
    taken.sort(order);
    return taken;
  }

  /** Returns all waiting steps. */
  Set<StepRun> all() {
    return steps;
  }
}
