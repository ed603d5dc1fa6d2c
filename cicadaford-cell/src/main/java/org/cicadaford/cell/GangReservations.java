package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reserves workers for gangs that do not fit, against steps of less urgent queues.
 *
 * <p>Without reservations, smaller tasks take free capacity as soon as it appears, and a gang that
 * needs several workers at once starves.
 */
final class GangReservations {

  /** Reserved capacity for a waiting gang, as a multiple of its demand. */
  private static final int RESERVATION_FACTOR = 2;

  /** Maximum share of the workers that is reserved. */
  private static final double MAX_RESERVED_SHARE = 0.5;

  private Map<Worker, Integer> priorityByWorker = new HashMap<>();

  /** Returns whether a worker is reserved against steps of queues with {@code priority}. */
  boolean reservedAgainst(Worker worker, int priority) {
    return priority > priorityByWorker.getOrDefault(worker, Integer.MAX_VALUE);
  }

  /**
   * Replaces all reservations.
   *
   * @param gangs waiting gangs in scheduling order, with the workers that may run them
   * @param workerCount number of schedulable workers
   * @return workers that are no longer reserved, or reserved for a less urgent queue than before
   */
  List<Worker> reserve(Map<StepRun, List<Worker>> gangs, int workerCount) {
    Map<Worker, Integer> before = priorityByWorker;
    priorityByWorker = new HashMap<>();
    gangs.forEach((step, workers) -> reserveFor(step, workers, workerCount));
    List<Worker> released = new ArrayList<>();
    before.forEach(
        (worker, priority) -> {
          Integer now = priorityByWorker.get(worker);
          if (now == null || now > priority) {
            released.add(worker);
          }
        });
    return released;
  }

  private void reserveFor(StepRun step, List<Worker> workers, int workerCount) {
    int missing = RESERVATION_FACTOR * step.tasks().size();
    for (Worker worker : workers) {
      boolean full = priorityByWorker.size() >= workerCount * MAX_RESERVED_SHARE;
      if (missing <= 0 || full) {
        return;
      }
      if (!priorityByWorker.containsKey(worker)) {
        priorityByWorker.put(worker, step.job().queue().priority());
        missing -= slotsOn(step, worker);
      }
    }
  }

  private static int slotsOn(StepRun step, Worker worker) {
    return Math.max(1, step.spec().slotsIn(worker.listing().capacity()));
  }
}
