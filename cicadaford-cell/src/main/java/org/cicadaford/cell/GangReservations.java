package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.cicadaford.cell.gang.GangPlan;
import org.cicadaford.cell.gang.GangScheduler;
import org.cicadaford.cell.gang.HoldEvent;
import org.cicadaford.cell.gang.RemainingTime;
import org.cicadaford.cell.gang.Reservation;
import org.cicadaford.cell.gang.WaitingGang;
import org.cicadaford.model.Resources;

/**
 * Reserves capacity for gangs that do not fit, against steps of less urgent queues.
 *
 * <p>Without reservations, smaller tasks take free capacity as soon as it appears, and a gang that
 * needs several workers at once starves. {@link GangScheduler} decides what is reserved and until
 * when; this class applies its decisions to the workers.
 */
final class GangReservations {

  /**
   * Interval at which gangs are planned again, in milliseconds. Between two plans, capacity that
   * runs release stays reserved.
   */
  private static final long PLAN_INTERVAL_MILLIS = 100;

  /** Reservations of a worker, and what was placed there since they were decided. */
  private static final class ReservedWorker {
    private final List<Reservation> reservations = new ArrayList<>();
    private Resources freeAtPlan = Resources.NONE;
    private Resources placedSince = Resources.NONE;
  }

  private final CellState state;
  private final GangScheduler scheduler = new GangScheduler();
  private final WaitingGangReader reader;
  private Map<Worker, ReservedWorker> reservedWorkers = new HashMap<>();
  private final Map<String, GangPlan> plans = new HashMap<>();
  private Set<String> plannedGangs = Set.of();
  private OptionalLong plannedAtMillis = OptionalLong.empty();
  private long nowMillis;

  GangReservations(
      CellState state, SchedulableWorkerIndex workerIndex, RemainingTime remainingTime) {
    this.state = state;
    this.reader = new WaitingGangReader(state, workerIndex, remainingTime);
  }

  /** Returns whether a task of a step is kept off a worker that has free capacity for it. */
  boolean reservedAgainst(Worker worker, StepRun step) {
    // Most workers are not reserved, and whether the task fits there is checked elsewhere.
    return reservedWorkers.containsKey(worker)
        && !step.spec().reservation().fitsIn(availableTo(step, worker));
  }

  /** Returns the free capacity of a worker that a step may use. */
  Resources availableTo(StepRun step, Worker worker) {
    ReservedWorker reserved = reservedWorkers.get(worker);
    if (reserved == null) {
      return worker.free();
    }
    Resources kept = Resources.NONE;
    Resources available = worker.free();
    for (Reservation reservation : reserved.reservations) {
      if (reservation.gangId().equals(step.name())) {
        // Reservations that were planned after its own are for a later time.
        break;
      }
      boolean keptOff = reservation.keepsOff(step.name(), step.job().queue().priority());
      if (keptOff && !endsBefore(reservation, step)) {
        kept = kept.plus(reservation.amount());
        // The free capacity at the last plan is used, because a run that has ended since would
        // count twice: as free and as expected to end.
        Resources left =
            reserved
                .freeAtPlan
                .plus(reservation.releasedBefore())
                .minus(kept)
                .minus(reserved.placedSince);
        available = smaller(available, left);
      }
    }
    return available;
  }

  private boolean endsBefore(Reservation reservation, StepRun step) {
    StepSpec spec = step.spec();
    // A gang may wait for its members after it has been placed, so it does not run in between.
    return !spec.longRunning()
        && !spec.gang()
        && reservation.allowsUntilStart(spec.estimateMillis(), nowMillis);
  }

  private static Resources smaller(Resources one, Resources other) {
    return new Resources(
        Math.min(one.processorsMillicores(), other.processorsMillicores()),
        Math.min(one.memoryMebibytes(), other.memoryMebibytes()),
        Math.min(one.acceleratorCount(), other.acceleratorCount()));
  }

  /** Records a placement, which uses capacity of its worker. */
  void placed(Placement placement) {
    ReservedWorker reserved = reservedWorkers.get(placement.worker());
    if (reserved != null) {
      reserved.placedSince = reserved.placedSince.plus(placement.reservation());
    }
  }

  /** Removes the reservations of a gang that has been placed; returns their workers. */
  List<Worker> release(StepRun step) {
    List<Worker> released = new ArrayList<>();
    reservedWorkers.forEach(
        (worker, reserved) -> {
          if (reserved.reservations.removeIf(held -> held.gangId().equals(step.name()))) {
            released.add(worker);
          }
        });
    plans.remove(step.name());
    return released;
  }

  /** Returns whether anything is reserved. */
  boolean any() {
    return !reservedWorkers.isEmpty();
  }

  /** Returns the number of workers with reserved capacity. */
  int workerCount() {
    return reservedWorkers.size();
  }

  /** Returns the expected start of a waiting gang, if it has one. */
  OptionalLong expectedStartMillis(StepRun step) {
    GangPlan plan = plans.get(step.name());
    return plan == null ? OptionalLong.empty() : OptionalLong.of(plan.startMillis());
  }

  /** Returns the number of tasks of a gang that are planned on a worker. */
  int plannedTasks(StepRun step, Worker worker) {
    GangPlan plan = plans.get(step.name());
    return plan == null ? 0 : plan.tasksByWorker().getOrDefault(worker.id(), 0);
  }

  /**
   * Replaces all reservations, at the interval of the plans or when a gang no longer waits.
   *
   * @param gangs waiting gangs within the limit of their team, in scheduling order
   * @return workers that are no longer reserved, or for less than before
   */
  List<Worker> update(List<StepRun> gangs, int workerCount, ClockReading now) {
    nowMillis = now.monotonicMillis();
    Set<String> ids = new HashSet<>();
    gangs.forEach(step -> ids.add(step.name()));
    boolean recent = ElapsedTime.within(plannedAtMillis, nowMillis, PLAN_INTERVAL_MILLIS - 1);
    if (recent && ids.containsAll(plannedGangs)) {
      return List.of();
    }
    plannedAtMillis = OptionalLong.of(nowMillis);
    plannedGangs = ids;
    List<WaitingGang> waiting = reader.read(gangs, now);
    GangScheduler.Outcome outcome = scheduler.plan(waiting, workerCount, nowMillis);
    plans.clear();
    plans.putAll(outcome.plans());
    outcome.events().forEach(this::report);
    return replace(outcome.reservations());
  }

  private List<Worker> replace(List<Reservation> reservations) {
    Map<Worker, ReservedWorker> before = reservedWorkers;
    reservedWorkers = new LinkedHashMap<>();
    for (Reservation reservation : reservations) {
      Worker worker = state.workers().get(reservation.workerId());
      ReservedWorker reserved =
          reservedWorkers.computeIfAbsent(worker, key -> new ReservedWorker());
      reserved.freeAtPlan = worker.free();
      reserved.reservations.add(reservation);
    }
    List<Worker> released = new ArrayList<>();
    before.forEach(
        (worker, reserved) -> {
          ReservedWorker after = reservedWorkers.get(worker);
          if (after == null || !keptTotal(reserved).fitsIn(keptTotal(after))) {
            released.add(worker);
          }
        });
    return released;
  }

  private static Resources keptTotal(ReservedWorker reserved) {
    return reserved.reservations.stream()
        .map(Reservation::amount)
        .reduce(Resources.NONE, Resources::plus);
  }

  private void report(HoldEvent event) {
    String inputs =
        "start_in_ms="
            + event.startInMillis()
            + " lost="
            + event.lostCount()
            + " workers="
            + event.workerCount();
    state
        .actions()
        .add(new Action.ReportDecision("gang", event.gangId(), event.kind().name(), inputs));
  }
}
