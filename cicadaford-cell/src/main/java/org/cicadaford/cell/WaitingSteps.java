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
 * Steps that have tasks to place, and what each of them waits for.
 *
 * <p>A step is tried again when what it waits for has changed: room on a worker that may run it,
 * its team's usage, its advice. So the work of a decision follows the changes, not the backlog.
 */
final class WaitingSteps {

  private final Set<StepRun> steps = new LinkedHashSet<>();
  private final Set<StepRun> due = new LinkedHashSet<>();
  private final Map<String, Set<StepRun>> byPermittedWorker = new HashMap<>();
  private final Map<String, Set<StepRun>> unrestrictedByService = new HashMap<>();
  private final Map<String, Set<StepRun>> limitedByTeam = new HashMap<>();
  private final Set<StepRun> withoutWorkers = new LinkedHashSet<>();

  /**
   * Adds a step, or has it tried again.
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

  /** Notes that a waiting step may run on a worker. */
  void permit(StepRun step, String workerId) {
    if (steps.contains(step)) {
      byPermittedWorker.computeIfAbsent(workerId, key -> new LinkedHashSet<>()).add(step);
    }
  }

  /** Removes a step that has no tasks to place any more. */
  void remove(StepRun step) {
    due.remove(step);
    if (!steps.remove(step)) {
      return;
    }
    step.tickets().keySet().forEach(workerId -> removeFrom(byPermittedWorker, workerId, step));
    unrestrictedByService.values().forEach(waiting -> waiting.remove(step));
    removeFrom(limitedByTeam, step.job().team(), step);
    withoutWorkers.remove(step);
  }

  /** Notes that a step may not run on a worker any more. */
  void forbid(StepRun step, String workerId) {
    removeFrom(byPermittedWorker, workerId, step);
  }

  private static <K> void removeFrom(Map<K, Set<StepRun>> index, K key, StepRun step) {
    Set<StepRun> waiting = index.get(key);
    if (waiting != null && waiting.remove(step) && waiting.isEmpty()) {
      index.remove(key);
    }
  }

  /** Notes that a step waits for workers on which advice can be asked. */
  void withoutWorkers(StepRun step) {
    withoutWorkers.add(step);
  }

  /** Has the steps tried again that wait for workers on which advice can be asked. */
  void workersAppeared() {
    due.addAll(withoutWorkers);
    withoutWorkers.clear();
  }

  /** Notes that a step waits for its team's usage to fall. */
  void limited(StepRun step) {
    limitedByTeam.computeIfAbsent(step.job().team(), key -> new LinkedHashSet<>()).add(step);
  }

  /** Has the steps tried again that wait for a team's usage to fall. */
  void usageFell(String team) {
    Set<StepRun> limited = limitedByTeam.remove(team);
    if (limited != null) {
      due.addAll(limited);
    }
  }

  /** Has the steps tried again that wait for a team's usage to fall and may run more by now. */
  void limitsEased(Predicate<StepRun> allowed) {
    limitedByTeam.values().forEach(steps -> steps.stream().filter(allowed).forEach(due::add));
  }

  /** Returns the steps that wait for their team's usage to fall, by team. */
  Map<String, Set<StepRun>> limitedByTeam() {
    return limitedByTeam;
  }

  private boolean isLimited(StepRun step) {
    return limitedByTeam.getOrDefault(step.job().team(), Set.of()).contains(step);
  }

  /** Has the steps tried again that a worker with free room could run. */
  void roomOn(Worker worker) {
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

  /** Has the steps tried again whose time has come. */
  void tick(long nowMillis) {
    for (StepRun step : steps) {
      if (step.tryDue(nowMillis)) {
        due.add(step);
      }
    }
  }

  /** Has all steps tried again. */
  void tryAll() {
    due.addAll(steps);
  }

  boolean anyDue() {
    return !due.isEmpty();
  }

  /** Returns the steps to be tried now, the first ones of an order first. */
  List<StepRun> takeDue(Comparator<StepRun> order) {
    List<StepRun> taken = new ArrayList<>(due);
    due.clear();
    // Whether a team is at its limit is found anew by the attempt.
    taken.forEach(step -> removeFrom(limitedByTeam, step.job().team(), step));
    taken.sort(order);
    return taken;
  }

  /** Returns all waiting steps. */
  Set<StepRun> all() {
    return steps;
  }
}
