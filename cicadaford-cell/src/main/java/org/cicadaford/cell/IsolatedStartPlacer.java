package org.cicadaford.cell;

import java.util.Comparator;
import java.util.List;

/**
 * Selects the worker for the next start of a task that may have crashed workers.
 *
 * <p>The start is to show whether the task is the cause, so a worker without other recent starts is
 * preferred, and among these the one with the least work to lose.
 */
final class IsolatedStartPlacer {

  private final SchedulableWorkerIndex workerIndex;
  private final GangReservations reservations;

  IsolatedStartPlacer(SchedulableWorkerIndex workerIndex, GangReservations reservations) {
    this.workerIndex = workerIndex;
    this.reservations = reservations;
  }

  /** Returns the worker among the permitted ones, or null if the task fits on none. */
  Worker select(Task task, List<Worker> permitted) {
    Selection selection = new Selection(task);
    permitted.stream()
        .sorted(Comparator.comparingLong((Worker worker) -> -worker.free().processorsMillicores()))
        .anyMatch(worker -> !selection.offer(worker));
    return selection.selected;
  }

  /** Returns the worker of a service, or null if the task fits on none. */
  Worker select(Task task, String service) {
    Selection selection = new Selection(task);
    workerIndex.visitLargest(
        service, task.step().spec().requiredLabel(), worker -> selection.offer(worker));
    return selection.selected;
  }

  /** The best of the workers that were offered, those with the most free processors first. */
  private final class Selection {

    private final Task task;
    private Worker selected;
    private int selectedStarts;

    private Selection(Task task) {
      this.task = task;
    }

    /** Considers a worker; returns whether a better one may follow. */
    private boolean offer(Worker worker) {
      int priority = task.step().job().queue().priority();
      if (!reservations.reservedAgainst(worker, priority) && WorkerEvaluator.fits(task, worker)) {
        int starts = worker.startSurvival().unsurvived(worker.placements().values()).size();
        if (selected == null || starts < selectedStarts) {
          selected = worker;
          selectedStarts = starts;
        }
      }
      return selected == null || selectedStarts > 0;
    }
  }
}
