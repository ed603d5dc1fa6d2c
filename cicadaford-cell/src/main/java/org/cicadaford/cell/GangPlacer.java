package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cicadaford.model.Resources;

/** Chooses the workers of a gang, whose members run only all together. */
final class GangPlacer {

  private final UsableWorkers usable;
  private final GangReservations reservations;

  GangPlacer(UsableWorkers usable, GangReservations reservations) {
    this.usable = usable;
    this.reservations = reservations;
  }

  /** Returns a worker for each member among those that may run the step, or none at all. */
  List<Worker> choose(StepRun step, List<Worker> permitted) {
    Task first = step.tasks().getFirst();
    return chooseAmong(
        step, permitted.stream().filter(w -> WorkerSuitability.fits(first, w)).toList());
  }

  /** Returns a worker of a service for each member, or none at all. */
  List<Worker> choose(StepRun step, String service) {
    return chooseAmong(step, candidates(step, service));
  }

  private List<Worker> chooseAmong(StepRun step, List<Worker> candidates) {
    List<Worker> chosen = step.spec().rackLocal() ? chooseInOneRack(step, candidates) : List.of();
    return chosen.isEmpty() ? fill(step, candidates) : chosen;
  }

  private List<Worker> candidates(StepRun step, String service) {
    Task first = step.tasks().getFirst();
    // Each worker holds a member or more, so a gang needs no more workers than it has members.
    int limit = step.spec().rackLocal() ? Integer.MAX_VALUE : step.tasks().size();
    List<Worker> candidates = new ArrayList<>();
    usable.visitLargestInZone(
        service,
        step.job().zone(),
        worker -> {
          if (WorkerSuitability.labelled(step.spec(), worker) && open(first, worker)) {
            candidates.add(worker);
          }
          return candidates.size() < limit;
        });
    candidates.addAll(
        usable.largest(
            service,
            step.spec().requiredLabel(),
            limit,
            worker -> !WorkerSuitability.inHomeZone(step, worker) && open(first, worker)));
    return candidates;
  }

  private List<Worker> chooseInOneRack(StepRun step, List<Worker> candidates) {
    Map<String, List<Worker>> racks = new LinkedHashMap<>();
    for (Worker worker : candidates) {
      racks.computeIfAbsent(worker.listing().rack(), rack -> new ArrayList<>()).add(worker);
    }
    for (List<Worker> rack : racks.values()) {
      List<Worker> chosen = fill(step, rack);
      if (!chosen.isEmpty()) {
        return chosen;
      }
    }
    return List.of();
  }

  /** Fills the candidates one after the other, those with the least free processors first. */
  private static List<Worker> fill(StepRun step, List<Worker> candidates) {
    Task first = step.tasks().getFirst();
    List<Worker> inOrder = new ArrayList<>(candidates);
    inOrder.sort(
        Comparator.comparingInt((Worker worker) -> WorkerSuitability.penalty(first, worker))
            .thenComparingLong(worker -> worker.free().processorsMillicores())
            .thenComparing(Worker::id));
    Resources demand = step.spec().reservation();
    int limit = step.spec().maxTasksPerWorker();
    List<Worker> chosen = new ArrayList<>();
    for (Worker worker : inOrder) {
      Resources left = worker.free();
      int placed = 0;
      while (chosen.size() < step.tasks().size()
          && demand.fitsIn(left)
          && (limit <= 0 || placed < limit)) {
        chosen.add(worker);
        left = left.minus(demand);
        placed++;
      }
    }
    return chosen.size() == step.tasks().size() ? chosen : List.of();
  }

  private boolean open(Task first, Worker worker) {
    int priority = first.step().job().queue().priority();
    return !reservations.holds(worker, priority) && WorkerSuitability.fits(first, worker);
  }
}
