package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cicadaford.model.Resources;

/**
 * Places waiting tasks on workers.
 *
 * <p>The load that it answers is a cell that is three quarters full, with urgent tasks of under a
 * second, gangs that take several workers at once, and bursts that double one kind of work. Steps
 * are tried in the order of {@link StepOrder}. A gang for which there is no room reserves workers,
 * so that smaller work of less urgent queues does not hold it up for ever. Tasks run in the zone in
 * which their job was handed in, if there is room: when a zone is cut off, jobs of the other zones
 * lose none of their tasks.
 *
 * <p>A step is tried when something that it waits for has changed, see {@link WaitingSteps}.
 */
final class PlacementPlanner {

  /** Time for which a step waits before that is reported, in milliseconds; most start in 0.1 s. */
  private static final long FIRST_REPORT_MILLIS = 400;

  /** Time between two reports on a step that waits, in milliseconds. */
  private static final long REPORT_MILLIS = 3_000;

  /** Time after which a waiting step is tried again without an event, in milliseconds. */
  private static final long TRY_AGAIN_MILLIS = 250;

  /** Steps that found no room in this round, by what they share. */
  private record Demand(String service, String label, int priority) {}

  private final CellState state;
  private final UsableWorkers usable;
  private final AdvicePlanner advice;
  private final GangReservations reservations;
  private final GangPlacer gangs;
  private final Map<Demand, Resources> withoutRoom = new HashMap<>();

  PlacementPlanner(
      CellState state, UsableWorkers usable, GangReservations reservations, AdvicePlanner advice) {
    this.state = state;
    this.usable = usable;
    this.reservations = reservations;
    this.advice = advice;
    this.gangs = new GangPlacer(usable, reservations);
  }

  /** Looks at everything that time alone changes. */
  void tick(ClockReading now) {
    usable.tick(now.monotonicMillis());
    state.waiting().tick(now.monotonicMillis());
    state
        .waiting()
        .limitedByTeam()
        .forEach((team, steps) -> state.preemption().makeRoom(team, steps, now));
    state.waiting().limitsEased(step -> withinLimit(step, tasksAtOnce(step), now));
    reserve(now);
    for (StepRun step : state.waiting().all()) {
      if (step.reportDue(now.monotonicMillis(), FIRST_REPORT_MILLIS, REPORT_MILLIS)) {
        report(step, now);
      }
    }
  }

  /** Places what can be placed since the last call, and asks for the advice that is missing. */
  void plan(ClockReading now) {
    long nowMillis = now.monotonicMillis();
    state.takeTouched().forEach(worker -> usable.refresh(worker, nowMillis));
    usable.takeWidened().forEach(state.waiting()::roomOn);
    // A new coordinator hears of its workers one by one; its backlog is tried once most are known.
    if (usable.mostAreKnown() && usable.takeGrown()) {
      state.waiting().workersAppeared();
    }
    withoutRoom.clear();
    for (StepRun step : state.waiting().takeDue(StepOrder.at(now.unixMillis()))) {
      attempt(step, now);
    }
    advice.askQueued(now);
  }

  /** Returns whether there is something to place or to look at. */
  boolean wanted() {
    return state.anyTouched() || usable.anyWidened() || state.waiting().anyDue();
  }

  private void attempt(StepRun step, ClockReading now) {
    if (step.job().phase().over() || !step.startable()) {
      state.waiting().remove(step);
      return;
    }
    step.nextTryMillis(now.monotonicMillis() + TRY_AGAIN_MILLIS);
    if (step.spec().gang()) {
      placeGang(step, now);
    } else {
      placeTasks(step, now);
    }
    if (!step.startable()) {
      step.waitTimes().over(now.monotonicMillis());
      state.waiting().remove(step);
    } else if (withinLimit(step, tasksAtOnce(step), now)) {
      step.waitTimes().waitsFor(missing(step, now), now.monotonicMillis());
      advice.consider(step, now);
    } else {
      step.waitTimes().waitsFor(WaitCause.LIMIT, now.monotonicMillis());
      state.waiting().limited(step);
    }
  }

  /** Returns what a step lacks that its team may run. */
  private WaitCause missing(StepRun step, ClockReading now) {
    boolean unadvised = advised(step) && permitted(step, now).isEmpty();
    return unadvised ? WaitCause.ADVICE : WaitCause.ROOM;
  }

  /** Places tasks one by one, as many as there is room for. */
  private void placeTasks(StepRun step, ClockReading now) {
    List<Worker> permitted = advised(step) ? permitted(step, now) : List.of();
    for (Task task : step.waitingTasks()) {
      if (!withinLimit(step, 1, now)) {
        return;
      }
      Worker best = advised(step) ? bestOf(permitted, task) : bestOfAll(task);
      if (best == null) {
        return;
      }
      start(task, best, task.lastRun() + 1, now);
    }
  }

  private Worker bestOf(List<Worker> candidates, Task task) {
    Worker best = null;
    for (Worker worker : candidates) {
      if (WorkerSuitability.fits(task, worker)
          && (best == null || WorkerSuitability.better(task, worker, best))) {
        best = worker;
      }
    }
    return best;
  }

  private Worker bestOfAll(Task task) {
    StepRun step = task.step();
    StepSpec spec = step.spec();
    String service = service(step);
    int priority = step.job().queue().priority();
    Demand demand = new Demand(service, spec.requiredLabel(), priority);
    Resources failed = withoutRoom.get(demand);
    if (failed != null && failed.fitsIn(spec.reservation())) {
      return null;
    }
    boolean picky =
        !spec.dataRack().isEmpty() || !task.failedOn().isEmpty() || task.failedCount() > 0;
    int worst = WorkerSuitability.WORST_PENALTY;
    Worker best =
        usable.bestFitInZone(
            service,
            step.job().zone(),
            spec.reservation(),
            worker ->
                WorkerSuitability.labelled(spec, worker)
                    && open(task, worker, priority)
                    && WorkerSuitability.penalty(task, worker) <= (picky ? 0 : worst));
    for (int allowed = picky ? 0 : worst; best == null && allowed <= worst; allowed++) {
      int limit = allowed;
      best =
          usable.bestFit(
              service,
              spec.requiredLabel(),
              spec.reservation(),
              worker ->
                  open(task, worker, priority) && WorkerSuitability.penalty(task, worker) <= limit);
    }
    if (best != null) {
      return best;
    }
    if (spec.maxTasksPerWorker() <= 0) {
      withoutRoom.put(demand, spec.reservation());
    }
    return null;
  }

  private boolean open(Task task, Worker worker, int priority) {
    return !reservations.holds(worker, priority) && WorkerSuitability.fits(task, worker);
  }

  /** Places all tasks of a gang or none. */
  private void placeGang(StepRun step, ClockReading now) {
    if (!withinLimit(step, step.tasks().size(), now)) {
      return;
    }
    List<Worker> chosen =
        advised(step)
            ? gangs.choose(step, permitted(step, now))
            : gangs.choose(step, service(step));
    if (chosen.isEmpty()) {
      return;
    }
    int run = step.nextGangRun();
    for (Task task : step.tasks()) {
      start(task, chosen.get(task.index()), run, now);
    }
  }

  private String service(StepRun step) {
    return state.queueOf(step.job()).service();
  }

  private boolean advised(StepRun step) {
    return state.queueOf(step.job()).advice().required();
  }

  /** Returns the workers for which the step holds a valid ticket and which are not reserved. */
  private List<Worker> permitted(StepRun step, ClockReading now) {
    String service = service(step);
    int priority = step.job().queue().priority();
    long untilMillis = now.monotonicMillis() + state.settings().ticketMarginMillis();
    List<Worker> permitted = new ArrayList<>();
    for (String workerId : step.tickets().keySet()) {
      Worker worker = state.workers().get(workerId);
      if (worker != null
          && usable.contains(worker, service)
          && !reservations.holds(worker, priority)
          && step.ticketFor(worker, untilMillis) != null) {
        permitted.add(worker);
      }
    }
    return permitted;
  }

  private static int tasksAtOnce(StepRun step) {
    return step.spec().gang() ? step.tasks().size() : 1;
  }

  private boolean withinLimit(StepRun step, int taskCount, ClockReading now) {
    int priority = step.job().queue().priority();
    Resources more = step.spec().demand().times(taskCount);
    return state
        .config()
        .team(step.job().team())
        .map(share -> state.limits().allows(share, priority, more, now.monotonicMillis()))
        .orElse(true);
  }

  private void start(Task task, Worker worker, int run, ClockReading now) {
    Placement placement =
        new Placement(task, run, worker, worker.incarnation(), now.monotonicMillis());
    state.place(placement);
    usable.refresh(worker, now.monotonicMillis());
    state.startsAfterwards().add(placement);
    Job job = task.step().job();
    if (job.phase() == JobPhase.PENDING) {
      job.phase(JobPhase.RUNNING);
    }
    state.change(job);
  }

  /** Reserves workers for the gangs that wait for room, and opens those reserved no more. */
  private void reserve(ClockReading now) {
    List<StepRun> waiting = new ArrayList<>();
    for (StepRun step : state.waiting().all()) {
      if (step.spec().gang() && withinLimit(step, step.tasks().size(), now)) {
        waiting.add(step);
      }
    }
    waiting.sort(StepOrder.at(now.unixMillis()));
    Map<StepRun, List<Worker>> gangs = new LinkedHashMap<>();
    waiting.forEach(step -> gangs.put(step, reservable(step)));
    reservations.reserve(gangs, usable.count()).forEach(usable::widen);
  }

  private List<Worker> reservable(StepRun step) {
    if (!advised(step)) {
      return usable.largest(
          service(step), step.spec().requiredLabel(), step.tasks().size(), worker -> true);
    }
    List<Worker> permitted = new ArrayList<>();
    for (String workerId : step.tickets().keySet()) {
      Worker worker = state.workers().get(workerId);
      if (worker != null && usable.contains(worker, service(step))) {
        permitted.add(worker);
      }
    }
    permitted.sort(
        Comparator.comparing((Worker worker) -> !WorkerSuitability.inHomeZone(step, worker))
            .thenComparingLong(worker -> -worker.free().processorsMillicores())
            .thenComparing(Worker::id));
    return permitted;
  }

  /** Tells why a step waits, so that the cause can be found in the logs. */
  private void report(StepRun step, ClockReading now) {
    Resources demand = step.spec().reservation();
    List<Worker> known = reservable(step);
    List<Worker> permitted = advised(step) ? permitted(step, now) : known;
    long withRoom = known.stream().filter(worker -> demand.fitsIn(worker.free())).count();
    String inputs =
        "waiting_tasks="
            + step.waitingTasks().size()
            + " gang="
            + step.spec().gang()
            + " usable="
            + usable.count()
            + " known="
            + known.size()
            + " with_room="
            + withRoom
            + " ticket_valid="
            + permitted.size()
            + " open="
            + permitted.stream().filter(w -> WorkerSuitability.openSlots(step, w) > 0).count()
            + " advised_against="
            + step.advisedAgainst().size()
            + " asking="
            + step.adviceInFlight()
            + " within_limit="
            + withinLimit(step, 1, now);
    state.actions().add(new Action.ReportWaitingStep(step.name(), inputs));
  }
}
