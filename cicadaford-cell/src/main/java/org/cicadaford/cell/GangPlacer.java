package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cicadaford.model.Resources;

/** Selects workers for a gang, whose members must all run at the same time. */
final class GangPlacer {

  private final SchedulableWorkerIndex workerIndex;
  private final GangReservations reservations;

  GangPlacer(SchedulableWorkerIndex workerIndex, GangReservations reservations) {
    this.workerIndex = workerIndex;
    this.reservations = reservations;
  }

  /** Returns a worker for each member among the permitted workers, or an empty list. */
  List<Worker> select(StepRun step, List<Worker> permitted, ClockReading now) {
    Task first = step.tasks().getFirst();
    return selectBySpeed(
        step, permitted.stream().filter(w -> WorkerEvaluator.fits(first, w)).toList(), now);
  }

  /** Returns a worker of a service for each member, or an empty list. */
  List<Worker> select(StepRun step, String service, ClockReading now) {
    return selectBySpeed(step, candidates(step, service), now);
  }

  /**
   * A gang is as slow as its slowest member. One with little slack uses no slow worker, unless that
   * costs more in other respects than its zone or is not possible; then all workers are equal.
   */
  private List<Worker> selectBySpeed(StepRun step, List<Worker> candidates, ClockReading now) {
    List<Worker> selected = selectAmong(step, candidates);
    if (selected.stream().noneMatch(SpeedPreference::isSlow)
        || !SpeedPreference.avoidsSlow(step, now)) {
      return selected;
    }
    List<Worker> faster =
        selectAmong(step, candidates.stream().filter(w -> !SpeedPreference.isSlow(w)).toList());
    boolean preferred =
        !faster.isEmpty()
            && highestPenalty(step, faster) <= highestPenalty(step, selected)
            && (!step.spec().rackLocal() || rackCount(faster) <= rackCount(selected));
    return preferred ? faster : selected;
  }

  private static long rackCount(List<Worker> selected) {
    return selected.stream().map(worker -> worker.listing().rack()).distinct().count();
  }

  private static int highestPenalty(StepRun step, List<Worker> selected) {
    Task first = step.tasks().getFirst();
    return selected.stream()
        .mapToInt(worker -> WorkerEvaluator.withoutZone(WorkerEvaluator.penalty(first, worker)))
        .max()
        .orElse(0);
  }

  private List<Worker> selectAmong(StepRun step, List<Worker> candidates) {
    List<Worker> selected = step.spec().rackLocal() ? selectInOneRack(step, candidates) : List.of();
    return selected.isEmpty() ? fill(step, candidates) : selected;
  }

  private List<Worker> candidates(StepRun step, String service) {
    Task first = step.tasks().getFirst();
    // Each candidate fits at least one member, so no more workers than members are needed.
    int limit = step.spec().rackLocal() ? Integer.MAX_VALUE : step.tasks().size();
    List<Worker> candidates = new ArrayList<>();
    workerIndex.visitLargestInZone(
        service,
        step.job().zone(),
        worker -> {
          if (WorkerEvaluator.hasRequiredLabel(step.spec(), worker) && canRun(first, worker)) {
            candidates.add(worker);
          }
          return candidates.size() < limit;
        });
    candidates.addAll(
        workerIndex.largest(
            service,
            step.spec().requiredLabel(),
            limit,
            worker -> !WorkerEvaluator.inSubmissionZone(step, worker) && canRun(first, worker)));
    return candidates;
  }

  private List<Worker> selectInOneRack(StepRun step, List<Worker> candidates) {
    Map<String, List<Worker>> racks = new LinkedHashMap<>();
    for (Worker worker : candidates) {
      racks.computeIfAbsent(worker.listing().rack(), rack -> new ArrayList<>()).add(worker);
    }
    for (List<Worker> rack : racks.values()) {
      List<Worker> selected = fill(step, rack);
      if (!selected.isEmpty()) {
        return selected;
      }
    }
    return List.of();
  }

  /** Fills the candidates in ascending order of penalty and free processor capacity. */
  private static List<Worker> fill(StepRun step, List<Worker> candidates) {
    Task first = step.tasks().getFirst();
    List<Worker> inOrder = new ArrayList<>(candidates);
    inOrder.sort(
        Comparator.comparingInt((Worker worker) -> WorkerEvaluator.penalty(first, worker))
            .thenComparingLong(worker -> worker.free().processorsMillicores())
            .thenComparing(Worker::id));
    Resources demand = step.spec().reservation();
    int limit = step.spec().maxTasksPerWorker();
    List<Worker> selected = new ArrayList<>();
    for (Worker worker : inOrder) {
      Resources left = worker.free();
      int placed = 0;
      while (selected.size() < step.tasks().size()
          && demand.fitsIn(left)
          && (limit <= 0 || placed < limit)) {
        selected.add(worker);
        left = left.minus(demand);
        placed++;
      }
    }
    return selected.size() == step.tasks().size() ? selected : List.of();
  }

  private boolean canRun(Task first, Worker worker) {
    int priority = first.step().job().queue().priority();
    return !reservations.reservedAgainst(worker, priority) && WorkerEvaluator.fits(first, worker);
  }
}
