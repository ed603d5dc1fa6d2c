package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cicadaford.model.Resources;

/**
 * Places waiting tasks on workers.
 *
 * <p>Designed for a cell at three quarters of its capacity, with urgent tasks of under a second,
 * gangs that need several workers at once, and bursts that double one kind of work. Steps are tried
 * in the order of {@link StepOrder}. A gang that does not fit reserves workers, so that smaller
 * tasks of less urgent queues cannot starve it. Tasks run in the zone in which their job was
 * submitted while it has capacity, so that the failure of a zone does not affect jobs of other
 * zones.
 *
 * <p>A step is retried when a condition that it waits for has changed, see {@link WaitingSteps}.
 */
final class PlacementPlanner {

  /** Wait of a step before its first report, in milliseconds; most start within 100 ms. */
  private static final long FIRST_REPORT_MILLIS = 400;

  /** Interval of the reports on a waiting step, in milliseconds. */
  private static final long REPORT_INTERVAL_MILLIS = 3_000;

  /** Interval at which a waiting step is retried without an event, in milliseconds. */
  private static final long RETRY_INTERVAL_MILLIS = 250;

  /** Key of the steps that compete for the same workers at the same priority. */
  private record DemandKey(String service, String label, int priority) {}

  private final CellState state;
  private final SchedulableWorkerIndex workerIndex;
  private final AdvicePlanner advicePlanner;
  private final GangReservations reservations;
  private final GangPlacer gangPlacer;
  private final IsolatedStartPlacer isolatedStartPlacer;
  private final Map<DemandKey, Resources> unplaceableDemands = new HashMap<>();

  PlacementPlanner(
      CellState state,
      SchedulableWorkerIndex workerIndex,
      GangReservations reservations,
      AdvicePlanner advicePlanner) {
    this.state = state;
    this.workerIndex = workerIndex;
    this.reservations = reservations;
    this.advicePlanner = advicePlanner;
    this.gangPlacer = new GangPlacer(workerIndex, reservations);
    this.isolatedStartPlacer = new IsolatedStartPlacer(workerIndex, reservations);
  }

  /** Updates the state that depends on elapsed time. */
  void tick(ClockReading now) {
    workerIndex.tick(now.monotonicMillis());
    state.waiting().tick(now.monotonicMillis());
    state.limitReservations().renew(state.waiting().limitedByTeam(), now);
    state.workerListAge().reportChange(now);
    if (state.workerListAge().isCurrent(now)) {
      state.limitReservations().teams().forEach(team -> state.preemptor().preempt(team, now));
    }
    state.shortages().tick(workerIndex, now);
    state.waiting().retryAllowed(step -> withinLimit(step, tasksAtOnce(step), now));
    reserve(now);
    for (StepRun step : state.waiting().all()) {
      if (step.reportDue(now.monotonicMillis(), FIRST_REPORT_MILLIS, REPORT_INTERVAL_MILLIS)) {
        report(step, now);
      }
    }
  }

  /** Places the tasks of all due steps and requests missing advice. */
  void plan(ClockReading now) {
    long nowMillis = now.monotonicMillis();
    state.takeChangedWorkers().forEach(worker -> workerIndex.refresh(worker, nowMillis));
    workerIndex.takeWorkersWithNewCapacity().forEach(state.waiting()::retryOnWorker);
    // Workers report to a new coordinator one by one; the backlog is tried once most have.
    if (workerIndex.majoritySchedulable() && workerIndex.takeWorkerAdded()) {
      state.waiting().retryAwaitingWorkers();
    }
    if (!state.workerListAge().isCurrent(now)) {
      // The steps stay due until a list is read.
      return;
    }
    unplaceableDemands.clear();
    for (StepRun step :
        state.waiting().takeDue(StepOrder.at(now.unixMillis(), state.shortages()))) {
      attempt(step, now);
    }
    advicePlanner.requestQueued(now);
  }

  /** Returns whether workers or steps have changed since the last plan. */
  boolean hasWork() {
    return state.anyWorkerChanged() || workerIndex.anyNewCapacity() || state.waiting().anyDue();
  }

  private void attempt(StepRun step, ClockReading now) {
    if (step.job().phase().terminal() || !step.placeable()) {
      state.waiting().remove(step);
      return;
    }
    step.markReady(now.monotonicMillis());
    step.nextTryMillis(now.monotonicMillis() + RETRY_INTERVAL_MILLIS);
    if (step.spec().gang()) {
      placeGang(step, now);
    } else {
      placeTasks(step, now);
    }
    if (!step.placeable()) {
      step.waitTimes().endWait(now.monotonicMillis());
      state.waiting().remove(step);
    } else if (withinLimit(step, tasksAtOnce(step), now)) {
      step.waitTimes().startWait(waitCause(step, now), now.monotonicMillis());
      advicePlanner.requestIfMissing(step, now);
    } else {
      step.waitTimes().startWait(WaitCause.LIMIT, now.monotonicMillis());
      state.waiting().markLimited(step);
      step.markLimited(now.monotonicMillis());
    }
  }

  /** Returns why a step within its team limit has not been placed. */
  private WaitCause waitCause(StepRun step, ClockReading now) {
    boolean withoutTicket = requiresAdvice(step) && permitted(step, now).isEmpty();
    return withoutTicket ? WaitCause.ADVICE : WaitCause.ROOM;
  }

  /** Places tasks individually until capacity or the team limit is exhausted. */
  private void placeTasks(StepRun step, ClockReading now) {
    List<Worker> permitted = requiresAdvice(step) ? permitted(step, now) : List.of();
    for (Task task : step.waitingTasks()) {
      if (!withinLimit(step, 1, now)) {
        return;
      }
      Worker best = select(task, permitted, now);
      if (best == null) {
        return;
      }
      start(task, best, task.lastRun() + 1, now);
    }
  }

  private Worker select(Task task, List<Worker> permitted, ClockReading now) {
    boolean advised = requiresAdvice(task.step());
    if (task.suspected()) {
      return advised
          ? isolatedStartPlacer.select(task, permitted)
          : isolatedStartPlacer.select(task, service(task.step()));
    }
    return advised ? bestAmong(permitted, task, now) : bestOverall(task);
  }

  private Worker bestAmong(List<Worker> candidates, Task task, ClockReading now) {
    Worker best = null;
    for (Worker worker : candidates) {
      if (WorkerEvaluator.fits(task, worker)
          && (best == null || SpeedPreference.isBetter(task, worker, best, now))) {
        best = worker;
      }
    }
    return best;
  }

  private Worker bestOverall(Task task) {
    StepRun step = task.step();
    StepSpec spec = step.spec();
    String service = service(step);
    int priority = step.job().queue().priority();
    DemandKey demand = new DemandKey(service, spec.requiredLabel(), priority);
    Resources failed = unplaceableDemands.get(demand);
    if (failed != null && failed.fitsIn(spec.reservation())) {
      return null;
    }
    boolean hasPreferences =
        !spec.dataRack().isEmpty() || !task.failedOn().isEmpty() || task.failedCount() > 0;
    int maxPenalty = WorkerEvaluator.MAX_PENALTY;
    Worker best =
        workerIndex.bestFitInZone(
            service,
            step.job().zone(),
            spec.reservation(),
            worker ->
                WorkerEvaluator.hasRequiredLabel(spec, worker)
                    && canRun(task, worker, priority)
                    && WorkerEvaluator.penalty(task, worker) <= (hasPreferences ? 0 : maxPenalty));
    for (int allowed = hasPreferences ? 0 : maxPenalty;
        best == null && allowed <= maxPenalty;
        allowed++) {
      int limit = allowed;
      best =
          workerIndex.bestFit(
              service,
              spec.requiredLabel(),
              spec.reservation(),
              worker ->
                  canRun(task, worker, priority) && WorkerEvaluator.penalty(task, worker) <= limit);
    }
    if (best != null) {
      return best;
    }
    if (spec.maxTasksPerWorker() <= 0) {
      unplaceableDemands.put(demand, spec.reservation());
    }
    return null;
  }

  private boolean canRun(Task task, Worker worker, int priority) {
    return !reservations.reservedAgainst(worker, priority) && WorkerEvaluator.fits(task, worker);
  }

  /** Places all tasks of a gang or none. */
  private void placeGang(StepRun step, ClockReading now) {
    if (!withinLimit(step, step.tasks().size(), now)) {
      return;
    }
    List<Worker> chosen =
        requiresAdvice(step)
            ? gangPlacer.select(step, permitted(step, now), now)
            : gangPlacer.select(step, service(step), now);
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

  private boolean requiresAdvice(StepRun step) {
    return state.queueOf(step.job()).advice().required();
  }

  /** Returns the workers that the step has a valid ticket for and that are not reserved. */
  private List<Worker> permitted(StepRun step, ClockReading now) {
    String service = service(step);
    int priority = step.job().queue().priority();
    long untilMillis = now.monotonicMillis() + state.settings().ticketMarginMillis();
    List<Worker> permitted = new ArrayList<>();
    for (String workerId : step.tickets().keySet()) {
      Worker worker = state.workers().get(workerId);
      if (worker != null
          && workerIndex.contains(worker, service)
          && !reservations.reservedAgainst(worker, priority)
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
    Optional<TeamShare> share = state.config().team(step.job().team());
    if (share.isEmpty()) {
      return true;
    }
    int priority = step.job().queue().priority();
    Resources more = step.spec().demand().times(taskCount);
    Resources reserved = state.limitReservations().reservedAgainst(step, share.get(), now);
    return state
        .usageTracker()
        .allows(share.get(), priority, more, reserved, now.monotonicMillis());
  }

  private void start(Task task, Worker worker, int run, ClockReading now) {
    Placement placement =
        new Placement(task, run, worker, worker.incarnation(), now.monotonicMillis());
    state.place(placement);
    if (task.suspected()) {
      worker.startSurvival().isolate(placement);
    }
    task.step().clearLimited();
    state.limitReservations().taskPlaced(task.step());
    workerIndex.refresh(worker, now.monotonicMillis());
    state.startsAfterStore().add(placement);
    Job job = task.step().job();
    if (job.phase() == JobPhase.PENDING) {
      job.phase(JobPhase.RUNNING);
    }
    state.markForStore(job);
  }

  /** Reserves workers for waiting gangs and returns released workers to general use. */
  private void reserve(ClockReading now) {
    List<StepRun> waiting = new ArrayList<>();
    for (StepRun step : state.waiting().all()) {
      if (step.spec().gang() && withinLimit(step, step.tasks().size(), now)) {
        waiting.add(step);
      }
    }
    waiting.sort(StepOrder.at(now.unixMillis()));
    Map<String, Boolean> busyByService = new HashMap<>();
    List<GangReservations.WaitingGang> gangs = new ArrayList<>();
    for (StepRun step : waiting) {
      boolean busy = busyByService.computeIfAbsent(service(step), workerIndex::halfInUse);
      gangs.add(new GangReservations.WaitingGang(step, reservableWorkers(step), busy));
    }
    reservations
        .reserve(gangs, workerIndex.count(), now.monotonicMillis())
        .forEach(workerIndex::markNewCapacity);
    reservations.takeSuspensions().forEach(this::report);
  }

  private void report(GangReservations.Suspension suspension) {
    StepRun step = suspension.gang().step();
    String inputs =
        "workers="
            + suspension.workerCount()
            + " tasks="
            + step.tasks().size()
            + " service_busy="
            + suspension.gang().serviceBusy();
    state.actions().add(new Action.ReportDecision("reservation", step.name(), "suspended", inputs));
  }

  private List<Worker> reservableWorkers(StepRun step) {
    if (!requiresAdvice(step)) {
      return workerIndex.largest(
          service(step), step.spec().requiredLabel(), step.tasks().size(), worker -> true);
    }
    List<Worker> permitted = new ArrayList<>();
    for (String workerId : step.tickets().keySet()) {
      Worker worker = state.workers().get(workerId);
      boolean known = worker != null && step.hasTicket(worker);
      if (known
          && workerIndex.contains(worker, service(step))
          && WorkerEvaluator.hasRequiredLabel(step.spec(), worker)) {
        permitted.add(worker);
      }
    }
    permitted.sort(
        Comparator.comparing((Worker worker) -> !WorkerEvaluator.inSubmissionZone(step, worker))
            .thenComparingLong(worker -> -worker.free().processorsMillicores())
            .thenComparing(Worker::id));
    return permitted;
  }

  /** Reports why a step waits, for the log. */
  private void report(StepRun step, ClockReading now) {
    Resources demand = step.spec().reservation();
    List<Worker> known = reservableWorkers(step);
    List<Worker> permitted = requiresAdvice(step) ? permitted(step, now) : known;
    long withRoom = known.stream().filter(worker -> demand.fitsIn(worker.free())).count();
    String inputs =
        "waiting_tasks="
            + step.waitingTasks().size()
            + " gang="
            + step.spec().gang()
            + " usable="
            + workerIndex.count()
            + " known="
            + known.size()
            + " with_room="
            + withRoom
            + " ticket_valid="
            + permitted.size()
            + " open="
            + permitted.stream().filter(w -> WorkerEvaluator.availableSlots(step, w) > 0).count()
            + " advised_against="
            + step.advisedAgainst().size()
            + " asking="
            + step.adviceInFlight()
            + " within_limit="
            + withinLimit(step, 1, now)
            + " list_current="
            + state.workerListAge().isCurrent(now)
            + " list_age_ms="
            + state.workerListAge().ageMillis(now);
    state.actions().add(new Action.ReportWaitingStep(step.name(), inputs));
  }
}
