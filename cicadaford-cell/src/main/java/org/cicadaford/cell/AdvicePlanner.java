package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** Decides which workers a call for advice on a waiting step names, and when to make it. */
final class AdvicePlanner {

  /** Remaining validity of a ticket when its renewal arrives, in milliseconds. */
  private static final long RENEWAL_MARGIN_MILLIS = 250;

  /** Delay before all workers are named again when none may run a step, in milliseconds. */
  private static final long REASK_ALL_MILLIS = 1_000;

  /**
   * Time for which a step waits for workers to report to a new coordinator, in milliseconds. A call
   * that names only the first ones to report yields too few tickets.
   */
  private static final long FIRST_REPORTS_MILLIS = 150;

  /** Maximum number of workers in a call; defined by the protocol of the platform. */
  private static final int MAX_WORKERS = 100;

  /** Ratio of the task slots that advice is requested for to those that are needed. */
  private static final double RESERVE_FACTOR = 1.5;

  /** Number of tickets renewed while no permitted worker has capacity. */
  private static final int IDLE_TICKETS = 10;

  private final CellState state;
  private final SchedulableWorkerIndex workerIndex;
  private final GangReservations reservations;
  private final AdviceDispatcher dispatcher;
  private final Set<StepRun> queuedForShortCalls = new LinkedHashSet<>();
  private final Set<StepRun> queuedForLongCalls = new LinkedHashSet<>();

  AdvicePlanner(
      CellState state,
      SchedulableWorkerIndex workerIndex,
      GangReservations reservations,
      AdviceDispatcher dispatcher) {
    this.state = state;
    this.workerIndex = workerIndex;
    this.reservations = reservations;
    this.dispatcher = dispatcher;
  }

  /**
   * Requests the advice that a waiting step lacks, or queues the step until an instance is free.
   *
   * <p>The first call names workers regardless of their free capacity, so that permitted workers
   * are known when capacity becomes free. Their tickets are renewed before they expire while the
   * step waits.
   */
  void requestIfMissing(StepRun step, ClockReading now) {
    AdvicePolicy policy = state.queueOf(step.job()).advice();
    long nowMillis = now.monotonicMillis();
    if (!policy.required() || step.adviceInFlight() || step.adviceDelayed(nowMillis)) {
      return;
    }
    boolean early = step.triedFirstWithin(nowMillis, FIRST_REPORTS_MILLIS);
    if (early && !workerIndex.majoritySchedulable()) {
      state.waiting().awaitWorkers(step);
      return;
    }
    boolean shortCall = AdviceDispatcher.isShort(policy, state.settings().adviceWorkerCount());
    Set<StepRun> queue = shortCall ? queuedForShortCalls : queuedForLongCalls;
    queue.remove(step);
    if (!dispatcher.hasFreeCaller(shortCall, nowMillis)) {
      queue.add(step);
      return;
    }
    List<Worker> named = workersToName(step, policy, nowMillis);
    if (named.isEmpty()) {
      state.waiting().awaitWorkers(step);
    } else if (!dispatcher.requestAdvice(step, policy, named, nowMillis)) {
      queue.add(step);
    }
  }

  /** Requests advice for queued steps, in scheduling order, while instances are free. */
  void requestQueued(ClockReading now) {
    requestQueued(queuedForShortCalls, true, now);
    requestQueued(queuedForLongCalls, false, now);
  }

  private void requestQueued(Set<StepRun> queue, boolean shortCalls, ClockReading now) {
    while (!queue.isEmpty() && dispatcher.hasFreeCaller(shortCalls, now.monotonicMillis())) {
      StepRun step = Collections.min(queue, StepOrder.at(now.unixMillis(), state.shortages()));
      queue.remove(step);
      if (state.waiting().all().contains(step)) {
        requestIfMissing(step, now);
      }
    }
  }

  /**
   * Returns the workers to name: enough for the waiting tasks and a reserve, because other steps
   * compete for the same capacity. Permitted workers whose tickets expire are renewed first, then
   * untested workers are added.
   */
  private List<Worker> workersToName(StepRun step, AdvicePolicy policy, long nowMillis) {
    double wantedSlots = RESERVE_FACTOR * tasksToPlace(step);
    discardEarlierTickets(step);
    boolean first = step.tickets().isEmpty() && step.advisedAgainst().isEmpty();
    if (first) {
      return untestedWorkers(step, wantedSlots, 0, worker -> true);
    }
    List<Worker> permitted = workersWithTickets(step);
    long answerMillis = nowMillis + policy.callMillis(permitted.size()) + RENEWAL_MARGIN_MILLIS;
    List<Worker> stale = new ArrayList<>();
    double validSlots = 0;
    for (Worker worker : permitted) {
      if (step.ticketFor(worker, answerMillis) == null) {
        stale.add(worker);
      } else {
        validSlots += availableSlots(step, worker);
      }
    }
    if (validSlots >= wantedSlots) {
      return List.of();
    }
    List<Worker> named = new ArrayList<>();
    double slots = validSlots;
    for (Worker worker : stale) {
      int freeSlots = availableSlots(step, worker);
      if (slots < wantedSlots && named.size() < MAX_WORKERS && freeSlots > 0) {
        named.add(worker);
        slots += freeSlots;
      }
    }
    if (slots < wantedSlots) {
      named.addAll(
          untestedWorkers(
              step, wantedSlots - slots, named.size(), w -> availableSlots(step, w) > 0));
    }
    if (named.isEmpty() && permitted.isEmpty()) {
      // No permitted or untested worker is left, so earlier refusals are discarded.
      step.advisedAgainst().clear();
      step.adviceRetryAtMillis(nowMillis + REASK_ALL_MILLIS);
    }
    boolean allStale = validSlots == 0 && stale.size() == permitted.size();
    if (named.isEmpty() && allStale) {
      // No worker has capacity; a few tickets are renewed for when one does.
      named.addAll(stale.subList(0, Math.min(stale.size(), IDLE_TICKETS)));
    }
    return named;
  }

  /**
   * Discards tickets whose worker has restarted and is schedulable again. It may be of another
   * kind, and is named as an untested worker only if it has the label that the step requires.
   */
  private void discardEarlierTickets(StepRun step) {
    String service = state.queueOf(step.job()).service();
    Iterator<Map.Entry<String, Ticket>> tickets = step.tickets().entrySet().iterator();
    while (tickets.hasNext()) {
      Map.Entry<String, Ticket> entry = tickets.next();
      Worker worker = state.workers().get(entry.getKey());
      if (worker != null && !step.hasTicket(worker) && workerIndex.contains(worker, service)) {
        tickets.remove();
        state.waiting().forbid(step, worker.id());
      }
    }
  }

  private static int tasksToPlace(StepRun step) {
    return step.spec().gang() ? step.tasks().size() : step.waitingTasks().size();
  }

  /** Returns how many waiting tasks could start on a worker now, given a ticket. */
  private int availableSlots(StepRun step, Worker worker) {
    boolean reserved = reservations.reservedAgainst(worker, step.job().queue().priority());
    return reserved ? 0 : WorkerEvaluator.availableSlots(step, worker);
  }

  /** Returns the schedulable workers with a ticket, those with the most free processors first. */
  private List<Worker> workersWithTickets(StepRun step) {
    String service = state.queueOf(step.job()).service();
    List<Worker> permitted = new ArrayList<>();
    for (String workerId : step.tickets().keySet()) {
      Worker worker = state.workers().get(workerId);
      if (worker != null && workerIndex.contains(worker, service)) {
        permitted.add(worker);
      }
    }
    permitted.sort(
        Comparator.comparingLong((Worker worker) -> -worker.free().processorsMillicores())
            .thenComparing(Worker::id));
    return permitted;
  }

  /** Returns untested workers: first those with capacity in the zone of the job, then all. */
  private List<Worker> untestedWorkers(
      StepRun step, double wantedSlots, int alreadyNamed, Predicate<Worker> allowed) {
    String service = state.queueOf(step.job()).service();
    String label = step.spec().requiredLabel();
    CandidateCollector collector = new CandidateCollector(step, wantedSlots, alreadyNamed, allowed);
    workerIndex.visitLargestInZone(
        service,
        step.job().zone(),
        worker -> {
          boolean labelled = label.isEmpty() || worker.listing().labels().contains(label);
          if (labelled) {
            collector.add(worker);
          }
          return availableSlots(step, worker) > 0 && !collector.full();
        });
    if (!collector.full()) {
      workerIndex.visitLargest(
          service,
          label,
          worker -> {
            collector.add(worker);
            return !collector.full();
          });
    }
    return new ArrayList<>(collector.workers);
  }

  /** Collects untested workers until they are expected to provide enough task slots. */
  private final class CandidateCollector {

    private final StepRun step;
    private final double wantedSlots;
    private final int alreadyNamed;
    private final Predicate<Worker> allowed;
    private final double permittedShare;
    private final Set<Worker> workers = new LinkedHashSet<>();
    private double expectedSlots;

    private CandidateCollector(
        StepRun step, double wantedSlots, int alreadyNamed, Predicate<Worker> allowed) {
      this.step = step;
      this.wantedSlots = wantedSlots;
      this.alreadyNamed = alreadyNamed;
      this.allowed = allowed;
      this.permittedShare = dispatcher.permittedShare(step.job().queueName());
    }

    private void add(Worker worker) {
      boolean untested =
          !step.hasTicket(worker) && !step.isAdvisedAgainst(worker) && allowed.test(worker);
      if (untested && workers.add(worker)) {
        expectedSlots += permittedShare * availableSlots(step, worker);
      }
    }

    private boolean full() {
      int named = workers.size() + alreadyNamed;
      boolean enough =
          named >= state.settings().adviceWorkerCount() && expectedSlots >= wantedSlots;
      return enough || named >= MAX_WORKERS;
    }
  }
}
