package org.cicadaford.cell;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cicadaford.model.Resources;

/**
 * Sends the start orders of stored placements.
 *
 * <p>The state in which a placement was decided may have changed while it was being stored, for up
 * to several seconds if the store is slow. Its preconditions are therefore checked again.
 */
final class StartIssuer {

  private final CellState state;
  private final RunEndHandler endHandler;

  StartIssuer(CellState state, RunEndHandler endHandler) {
    this.state = state;
    this.endHandler = endHandler;
  }

  /**
   * Sends the start orders of the placements whose preconditions still hold and drops the others.
   *
   * <p>All placements are checked before the first order is sent, so that no member of a gang
   * starts if another one is dropped.
   */
  void issue(List<Placement> placements, ClockReading now) {
    Set<Placement> admitted = new HashSet<>();
    for (Placement placement : placements) {
      if (placement.task().placement() != placement) {
        continue;
      }
      if (mayStart(placement, now)
          && fitsCapacity(placement, admitted)
          && withinTaskLimit(placement, admitted)) {
        admitted.add(placement);
      } else {
        endHandler.runLost(placement, ReleaseReason.NOT_SENT, now);
      }
    }
    for (Placement placement : placements) {
      if (admitted.contains(placement)) {
        if (placement.stopRequested()) {
          endHandler.runLost(placement, ReleaseReason.NOT_SENT, now);
        } else {
          send(placement, now);
        }
      }
    }
  }

  private boolean mayStart(Placement placement, ClockReading now) {
    Worker worker = placement.worker();
    StepRun step = placement.task().step();
    boolean permitted =
        !state.queueOf(step.job()).advice().required()
            || step.ticketFor(worker, now.monotonicMillis()) != null;
    boolean sameIncarnation =
        worker.incarnation() == placement.incarnation() && !worker.incarnations().inDoubt();
    boolean zoneOpen =
        worker.listing() != null && !state.zonesOut().contains(worker.listing().zone());
    boolean schedulable = worker.listed() && !worker.listing().draining();
    boolean suitable = worker.listing() != null && suits(step, worker.listing(), worker);
    // A report may have listed a run that is not placed, since the placement was decided.
    boolean unplacedRun = placement.task().hasUnplacedRun() || !worker.unplacedRuns().isEmpty();
    boolean listCurrent = state.workerListAge().isCurrent(now);
    return listCurrent
        && !placement.stopRequested()
        && !unplacedRun
        && permitted
        && sameIncarnation
        && zoneOpen
        && schedulable
        && suitable;
  }

  /** Returns whether a worker still has the service and the label that a step requires. */
  private boolean suits(StepRun step, ListedWorker listing, Worker worker) {
    return listing.incarnation() == worker.incarnation()
        && listing.service().equals(state.queueOf(step.job()).service())
        && WorkerEvaluator.hasRequiredLabel(step.spec(), worker);
  }

  /**
   * Returns whether a worker has at most the permitted number of tasks of the step, including runs
   * that were found there since the placement was decided.
   */
  private static boolean withinTaskLimit(Placement placement, Set<Placement> admitted) {
    StepRun step = placement.task().step();
    int limit = step.spec().maxTasksPerWorker();
    Worker worker = placement.worker();
    if (limit <= 0 || step.placedOn(worker) <= limit) {
      return true;
    }
    long others =
        worker.placements().values().stream()
            .filter(other -> other != placement && other.task().step() == step)
            .filter(other -> other.orderSent() || admitted.contains(other))
            .count();
    return others < limit;
  }

  /**
   * Returns whether a placement fits the current capacity of its worker next to the runs that may
   * be there, including those that are being stopped, and the other starts to be sent.
   */
  private static boolean fitsCapacity(Placement placement, Set<Placement> admitted) {
    Worker worker = placement.worker();
    Resources used = placement.reservation();
    for (Placement other : worker.placements().values()) {
      boolean admittedBefore = admitted.contains(other) && !other.stopRequested();
      if (other.orderSent() || admittedBefore) {
        used = used.plus(other.reservation());
      }
    }
    return used.fitsIn(worker.listing().capacity());
  }

  private void send(Placement placement, ClockReading now) {
    Task task = placement.task();
    Worker worker = placement.worker();
    StepRun step = task.step();
    long nowMillis = now.monotonicMillis();
    boolean advised = state.queueOf(step.job()).advice().required();
    String ticket = advised ? step.ticketFor(worker, nowMillis).value() : "";
    long deadlineMillis =
        worker.clock().at(nowMillis) + state.workerListAge().startValidMillis(now);
    worker.deadlineSent(deadlineMillis, state.settings().maxClockSlowdown());
    placement.orderSent(state.events().next(), nowMillis);
    worker
        .earlierOrders()
        .recordStart(task.name(), placement.run(), nowMillis, state.settings().lateOrderMillis());
    state
        .actions()
        .add(
            new Action.StartTask(
                worker.id(),
                worker.listing().address(),
                task.name(),
                placement.run(),
                step.job().spec().payload(),
                task.checkpoint(),
                ticket,
                deadlineMillis));
  }
}
