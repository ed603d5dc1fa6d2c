package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps workers for gangs that found no room, from steps of less urgent queues.
 *
 * <p>Without them, smaller work takes each bit of room as it comes free, and a gang that needs
 * several workers at once would wait for ever.
 */
final class GangReservations {

  /** Room that is reserved for a waiting gang, as a multiple of what it needs. */
  private static final int RESERVATION_FACTOR = 2;

  /** Largest part of the workers of a service that is reserved. */
  private static final double MAX_RESERVED_PART = 0.5;

  private Map<Worker, Integer> priorityByWorker = new HashMap<>();

  /** Returns whether a worker is kept from steps of queues with {@code priority}. */
  boolean holds(Worker worker, int priority) {
    return priority > priorityByWorker.getOrDefault(worker, Integer.MAX_VALUE);
  }

  /**
   * Reserves workers anew.
   *
   * @param gangs waiting gangs, the first ones first, with the workers that may run them
   * @param workerCount number of workers that may get tasks
   * @return workers that are not reserved any more, or for a more urgent queue than before
   */
  List<Worker> reserve(Map<StepRun, List<Worker>> gangs, int workerCount) {
    Map<Worker, Integer> before = priorityByWorker;
    priorityByWorker = new HashMap<>();
    gangs.forEach((step, workers) -> offer(step, workers, workerCount));
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

  private void offer(StepRun step, List<Worker> workers, int workerCount) {
    int missing = RESERVATION_FACTOR * step.tasks().size();
    for (Worker worker : workers) {
      boolean full = priorityByWorker.size() >= workerCount * MAX_RESERVED_PART;
      if (missing <= 0 || full) {
        return;
      }
      if (!priorityByWorker.containsKey(worker)) {
        priorityByWorker.put(worker, step.job().queue().priority());
        missing -= slots(step, worker);
      }
    }
  }

  private static int slots(StepRun step, Worker worker) {
    return Math.max(1, step.spec().slotsIn(worker.listing().capacity()));
  }
}
