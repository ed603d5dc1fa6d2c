package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/** Decides which workers a call for advice on a waiting step names, and when it is made. */
final class AdvicePlanner {

  /** Time that is left of a ticket when its renewal arrives, in milliseconds. */
  private static final long RENEWAL_MARGIN_MILLIS = 250;

  /** Time after which all workers are asked about again when none may run a step. */
  private static final long ASK_AGAIN_MILLIS = 1_000;

  /**
   * Time for which a step waits for workers to report to a new coordinator, in milliseconds; a call
   * that names only the first ones finds too few.
   */
  private static final long CONTACT_MILLIS = 150;

  /** Largest number of workers in a call; from the platform's protocol. */
  private static final int MAX_WORKERS = 100;

  /** Room that advice is to find, as a multiple of what the waiting tasks need. */
  private static final double RESERVE_FACTOR = 1.5;

  /** Tickets that are kept valid while a step waits and no good worker has room. */
  private static final int KEPT_TICKETS = 10;

  private final CellState state;
  private final UsableWorkers usable;
  private final GangReservations reservations;
  private final AdviceDesk desk;
  private final Set<StepRun> queuedForShortCalls = new LinkedHashSet<>();
  private final Set<StepRun> queuedForLongCalls = new LinkedHashSet<>();

  AdvicePlanner(
      CellState state, UsableWorkers usable, GangReservations reservations, AdviceDesk desk) {
    this.state = state;
    this.usable = usable;
    this.reservations = reservations;
    this.desk = desk;
  }

  /**
   * Asks for the advice that a waiting step lacks, or queues it until an instance is free.
   *
   * <p>The first call names workers whatever room they have now, so that good ones are known when
   * room comes free. Tickets of the good ones are renewed before they end while the step waits.
   */
  void consider(StepRun step, ClockReading now) {
    AdvicePolicy policy = state.queueOf(step.job()).advice();
    long nowMillis = now.monotonicMillis();
    if (!policy.required() || step.adviceInFlight() || step.adviceDelayed(nowMillis)) {
      return;
    }
    boolean early = step.triedFirstWithin(nowMillis, CONTACT_MILLIS);
    if (early && !usable.mostAreKnown()) {
      state.waiting().withoutWorkers(step);
      return;
    }
    boolean shortCall = AdviceDesk.isShort(policy, state.settings().adviceWorkerCount());
    Set<StepRun> queue = shortCall ? queuedForShortCalls : queuedForLongCalls;
    queue.remove(step);
    if (!desk.hasFree(shortCall, nowMillis)) {
      queue.add(step);
      return;
    }
    List<Worker> named = toName(step, policy, nowMillis);
    if (named.isEmpty()) {
      state.waiting().withoutWorkers(step);
    } else if (!desk.ask(step, policy, named, nowMillis)) {
      queue.add(step);
    }
  }

  /** Asks for the advice on queued steps, the first ones first, while instances are free. */
  void askQueued(ClockReading now) {
    askQueued(queuedForShortCalls, true, now);
    askQueued(queuedForLongCalls, false, now);
  }

  private void askQueued(Set<StepRun> queue, boolean shortCalls, ClockReading now) {
    while (!queue.isEmpty() && desk.hasFree(shortCalls, now.monotonicMillis())) {
      StepRun step = Collections.min(queue, StepOrder.at(now.unixMillis()));
      queue.remove(step);
      if (state.waiting().all().contains(step)) {
        consider(step, now);
      }
    }
  }

  /**
   * Returns the workers to name: enough for the waiting tasks to find room with a reserve, as other
   * steps compete for it. Good workers whose tickets end are named again, others are tried.
   */
  private List<Worker> toName(StepRun step, AdvicePolicy policy, long nowMillis) {
    double wantedSlots = RESERVE_FACTOR * tasksToPlace(step);
    boolean first = step.tickets().isEmpty() && step.advisedAgainst().isEmpty();
    if (first) {
      return unknown(step, wantedSlots, 0, worker -> true);
    }
    List<Worker> good = known(step);
    long answerMillis = nowMillis + policy.callMillis(good.size()) + RENEWAL_MARGIN_MILLIS;
    List<Worker> stale = new ArrayList<>();
    double validSlots = 0;
    for (Worker worker : good) {
      if (step.ticketFor(worker, answerMillis) == null) {
        stale.add(worker);
      } else {
        validSlots += openSlots(step, worker);
      }
    }
    if (validSlots >= wantedSlots) {
      return List.of();
    }
    List<Worker> named = new ArrayList<>();
    double slots = validSlots;
    for (Worker worker : stale) {
      int open = openSlots(step, worker);
      if (slots < wantedSlots && named.size() < MAX_WORKERS && open > 0) {
        named.add(worker);
        slots += open;
      }
    }
    if (slots < wantedSlots) {
      named.addAll(unknown(step, wantedSlots - slots, named.size(), w -> openSlots(step, w) > 0));
    }
    if (named.isEmpty() && good.isEmpty()) {
      // No worker is left that may run the step, so the earlier advice is not relied on.
      step.advisedAgainst().clear();
      step.adviceRetryAtMillis(nowMillis + ASK_AGAIN_MILLIS);
    }
    boolean allStale = validSlots == 0 && stale.size() == good.size();
    if (named.isEmpty() && allStale) {
      // There is no room now; a few tickets are kept valid for the time when there is.
      named.addAll(stale.subList(0, Math.min(stale.size(), KEPT_TICKETS)));
    }
    return named;
  }

  private static int tasksToPlace(StepRun step) {
    return step.spec().gang() ? step.tasks().size() : step.waitingTasks().size();
  }

  /** Returns how many of the waiting tasks could start on a worker with a ticket now. */
  private int openSlots(StepRun step, Worker worker) {
    boolean reserved = reservations.holds(worker, step.job().queue().priority());
    return reserved ? 0 : WorkerSuitability.openSlots(step, worker);
  }

  /** Returns the workers with a ticket that may get tasks now, those with the most room first. */
  private List<Worker> known(StepRun step) {
    String service = state.queueOf(step.job()).service();
    List<Worker> good = new ArrayList<>();
    for (String workerId : step.tickets().keySet()) {
      Worker worker = state.workers().get(workerId);
      if (worker != null && usable.contains(worker, service)) {
        good.add(worker);
      }
    }
    good.sort(
        Comparator.comparingLong((Worker worker) -> -worker.free().processorsMillicores())
            .thenComparing(Worker::id));
    return good;
  }

  /** Returns workers to try: first those of the job's zone with room, then those of all zones. */
  private List<Worker> unknown(
      StepRun step, double wantedSlots, int alreadyNamed, Predicate<Worker> allowed) {
    String service = state.queueOf(step.job()).service();
    String label = step.spec().requiredLabel();
    Trial trial = new Trial(step, wantedSlots, alreadyNamed, allowed);
    usable.visitLargestInZone(
        service,
        step.job().zone(),
        worker -> {
          boolean labelled = label.isEmpty() || worker.listing().labels().contains(label);
          if (labelled) {
            trial.add(worker);
          }
          return openSlots(step, worker) > 0 && !trial.full();
        });
    if (!trial.full()) {
      usable.visitLargest(
          service,
          label,
          worker -> {
            trial.add(worker);
            return !trial.full();
          });
    }
    return new ArrayList<>(trial.workers);
  }

  /** Workers to be named that were not asked about yet. */
  private final class Trial {

    private final StepRun step;
    private final double wantedSlots;
    private final int alreadyNamed;
    private final Predicate<Worker> allowed;
    private final double goodShare;
    private final Set<Worker> workers = new LinkedHashSet<>();
    private double expectedSlots;

    private Trial(StepRun step, double wantedSlots, int alreadyNamed, Predicate<Worker> allowed) {
      this.step = step;
      this.wantedSlots = wantedSlots;
      this.alreadyNamed = alreadyNamed;
      this.allowed = allowed;
      this.goodShare = desk.goodShare(step.job().queueName());
    }

    private void add(Worker worker) {
      boolean open =
          !step.tickets().containsKey(worker.id())
              && !step.advisedAgainst().contains(worker.id())
              && allowed.test(worker);
      if (open && workers.add(worker)) {
        expectedSlots += goodShare * openSlots(step, worker);
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
