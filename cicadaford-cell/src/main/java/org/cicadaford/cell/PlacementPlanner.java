package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cicadaford.model.Resources;

/**
 * Places waiting tasks on workers.
 *
 * <p>The load that it answers is a cell that is three quarters full, with urgent tasks of under a
 * second, gangs that take several workers at once, and bursts that double one kind of work. Urgent
 * queues go first, then work within its team's share, then the oldest. A gang for which there is no
 * room reserves workers, so that smaller work of less urgent queues does not hold it up for ever.
 */
final class PlacementPlanner {

  /** Time that is left of a ticket when its renewal arrives, in milliseconds. */
  private static final long RENEWAL_MARGIN_MILLIS = 250;

  /** Time after which all workers are asked about again when none may run a step. */
  private static final long ASK_AGAIN_MILLIS = 1_000;

  /** Time between two reports on a step that waits, in milliseconds. */
  private static final long REPORT_MILLIS = 3_000;

  /** Room that is reserved for a waiting gang, as a multiple of what it needs. */
  private static final int RESERVATION_FACTOR = 2;

  /** Largest part of the workers that is reserved. */
  private static final double MAX_RESERVED_PART = 0.5;

  private static final Comparator<StepRun> ORDER =
      Comparator.<StepRun>comparingInt(step -> step.job().queue().priority())
          .thenComparing(step -> step.job().definition().excess())
          .thenComparingLong(step -> step.job().definition().acceptedAtMillis())
          .thenComparing(StepRun::name);

  private final CellState state;
  private final AdviceDesk advice;
  private final WorkerMonitor monitor;

  PlacementPlanner(CellState state, AdviceDesk advice, WorkerMonitor monitor) {
    this.state = state;
    this.advice = advice;
    this.monitor = monitor;
  }

  /** Places what can be placed now and asks for the advice that is missing. */
  void plan(Moment now) {
    state.planWanted(false);
    state.ready().removeIf(step -> step.job().phase().over() || !step.startable());
    List<StepRun> steps = new ArrayList<>(state.ready());
    steps.sort(ORDER);
    Map<String, List<Worker>> usableByService = new HashMap<>();
    Reservation reservation = new Reservation();
    for (StepRun step : steps) {
      String service = state.queueOf(step.job()).service();
      List<Worker> usable =
          usableByService.computeIfAbsent(service, name -> usableWorkers(name, now.steadyMillis()));
      place(step, usable, reservation, now);
    }
  }

  private List<Worker> usableWorkers(String service, long nowMillis) {
    List<Worker> usable = new ArrayList<>();
    SilenceDetector silence = new SilenceDetector(state.workers().values(), nowMillis);
    for (Worker worker : state.workers().values()) {
      if (usable(worker, service, nowMillis) && !silence.suspects(worker)) {
        usable.add(worker);
      }
    }
    usable.sort(
        Comparator.comparingLong((Worker worker) -> -worker.free().processorsMillicores())
            .thenComparing(Worker::id));
    return usable;
  }

  private boolean usable(Worker worker, String service, long nowMillis) {
    ListedWorker listing = worker.listing();
    return worker.listed()
        && listing.incarnation() == worker.incarnation()
        && !listing.draining()
        && listing.service().equals(service)
        && !state.zonesOut().contains(listing.zone())
        && monitor.reachable(worker, nowMillis)
        && !worker.quarantined(nowMillis);
  }

  private void place(StepRun step, List<Worker> usable, Reservation reservation, Moment now) {
    StepSpec spec = step.spec();
    List<Worker> labelled = new ArrayList<>();
    for (Worker worker : usable) {
      if (spec.requiredLabel().isEmpty()
          || worker.listing().labels().contains(spec.requiredLabel())) {
        labelled.add(worker);
      }
    }
    int priority = step.job().queue().priority();
    List<Worker> candidates =
        labelled.stream().filter(worker -> !reservation.holds(worker, priority)).toList();
    boolean placed =
        spec.gang() ? placeGang(step, candidates, now) : placeTasks(step, candidates, now);
    if (step.startable() && step.reportDue(now.steadyMillis(), REPORT_MILLIS)) {
      report(step, labelled, candidates, now);
    }
    if (!placed) {
      askAdvice(step, labelled, now);
      if (spec.gang()) {
        reservation.offer(step, labelled);
      }
    }
  }

  /** Tells why a step waits, so that the cause can be found in the logs. */
  private void report(StepRun step, List<Worker> labelled, List<Worker> candidates, Moment now) {
    Resources demand = step.spec().reservation();
    long withRoom = labelled.stream().filter(w -> demand.fitsIn(w.free())).count();
    long good = labelled.stream().filter(w -> step.tickets().containsKey(w.id())).count();
    long valid = labelled.stream().filter(w -> permitted(step, w, now)).count();
    String inputs =
        "usable="
            + labelled.size()
            + " unreserved="
            + candidates.size()
            + " with_room="
            + withRoom
            + " advised="
            + good
            + " ticket_valid="
            + valid
            + " advised_against="
            + step.advisedAgainst().size()
            + " asking="
            + step.adviceInFlight()
            + " within_limit="
            + withinLimit(step, 1);
    state.actions().add(new Action.ReportWaiting(step.name(), inputs));
  }

  /**
   * Asks for the advice that a waiting step lacks.
   *
   * <p>The first call names all workers, so that the good ones are known whatever room they have
   * now. Tickets of the good ones are renewed before they end while the step waits for room.
   */
  private void askAdvice(StepRun step, List<Worker> labelled, Moment now) {
    AdvicePolicy policy = state.queueOf(step.job()).advice();
    if (!policy.needed() || step.adviceInFlight()) {
      return;
    }
    int limit = state.settings().adviceWorkerCount();
    boolean first = step.tickets().isEmpty() && step.advisedAgainst().isEmpty();
    List<Worker> named = first ? labelled : toRenew(step, policy, labelled, now);
    if (named.isEmpty()) {
      named = unknownWithRoom(step, labelled);
    }
    boolean noneKnown = labelled.stream().noneMatch(w -> step.tickets().containsKey(w.id()));
    if (named.isEmpty() && noneKnown && now.steadyMillis() >= step.adviceRetryAtMillis()) {
      // No worker is left that may run the step, so the earlier advice is not relied on.
      step.advisedAgainst().clear();
      step.adviceRetryAtMillis(now.steadyMillis() + ASK_AGAIN_MILLIS);
    }
    advice.ask(step, policy, advice.toName(step, named, limit), now.steadyMillis());
  }

  private static List<Worker> toRenew(
      StepRun step, AdvicePolicy policy, List<Worker> labelled, Moment now) {
    List<Worker> good = new ArrayList<>();
    for (Worker worker : labelled) {
      if (step.tickets().containsKey(worker.id())) {
        good.add(worker);
      }
    }
    long answerMillis = now.steadyMillis() + policy.callMillis(good.size()) + RENEWAL_MARGIN_MILLIS;
    boolean renewed = good.stream().anyMatch(w -> step.ticketFor(w, answerMillis) != null);
    return renewed ? List.of() : good;
  }

  private static List<Worker> unknownWithRoom(StepRun step, List<Worker> labelled) {
    Resources demand = step.spec().reservation();
    return labelled.stream()
        .filter(worker -> !step.tickets().containsKey(worker.id()))
        .filter(worker -> !step.advisedAgainst().contains(worker.id()))
        .filter(worker -> demand.fitsIn(worker.free()))
        .toList();
  }

  private long neededUntil(Moment now) {
    return now.steadyMillis() + state.settings().ticketMarginMillis();
  }

  private boolean permitted(StepRun step, Worker worker, Moment now) {
    return !state.queueOf(step.job()).advice().needed()
        || step.ticketFor(worker, neededUntil(now)) != null;
  }

  /** Places tasks one by one; returns whether none is left. */
  private boolean placeTasks(StepRun step, List<Worker> candidates, Moment now) {
    for (Task task : step.waitingTasks()) {
      if (!withinLimit(step, 1)) {
        return true;
      }
      Worker best = null;
      for (Worker worker : candidates) {
        if (fits(task, worker, step.placedOn(worker), worker.free(), now)
            && (best == null || better(task, worker, best))) {
          best = worker;
        }
      }
      if (best == null) {
        return false;
      }
      start(task, best, task.lastRun() + 1, now);
    }
    return true;
  }

  /** Places all tasks of a gang or none; returns whether it is placed or over its team's limit. */
  private boolean placeGang(StepRun step, List<Worker> candidates, Moment now) {
    if (!withinLimit(step, step.tasks().size())) {
      return true;
    }
    List<Worker> chosen = null;
    if (step.spec().rackLocal()) {
      chosen = chooseInOneRack(step, candidates, now);
    }
    if (chosen == null) {
      chosen = choose(step, candidates, now);
    }
    if (chosen == null) {
      return false;
    }
    int run = step.nextGangRun();
    for (Task task : step.tasks()) {
      start(task, chosen.get(task.index()), run, now);
    }
    return true;
  }

  private List<Worker> chooseInOneRack(StepRun step, List<Worker> candidates, Moment now) {
    Map<String, List<Worker>> racks = new HashMap<>();
    for (Worker worker : candidates) {
      racks.computeIfAbsent(worker.listing().rack(), rack -> new ArrayList<>()).add(worker);
    }
    for (List<Worker> rack : racks.values()) {
      List<Worker> chosen = choose(step, rack, now);
      if (chosen != null) {
        return chosen;
      }
    }
    return null;
  }

  private List<Worker> choose(StepRun step, List<Worker> candidates, Moment now) {
    Map<Worker, Resources> free = new HashMap<>();
    Map<Worker, Long> placed = new HashMap<>();
    List<Worker> chosen = new ArrayList<>();
    for (Task task : step.tasks()) {
      Worker best = null;
      for (Worker worker : candidates) {
        Resources left = free.getOrDefault(worker, worker.free());
        if (fits(task, worker, placed.getOrDefault(worker, 0L), left, now)
            && (best == null || better(task, worker, best))) {
          best = worker;
        }
      }
      if (best == null) {
        return null;
      }
      chosen.add(best);
      free.put(best, free.getOrDefault(best, best.free()).minus(step.spec().reservation()));
      placed.merge(best, 1L, Long::sum);
    }
    return chosen;
  }

  private boolean fits(Task task, Worker worker, long placedThere, Resources free, Moment now) {
    StepSpec spec = task.step().spec();
    boolean spread = spec.maxTasksPerWorker() <= 0 || placedThere < spec.maxTasksPerWorker();
    // After several failures in a row a worker has to prove itself with one step at a time.
    boolean trusted =
        worker.failuresInARow() < Worker.FAILURES_BEFORE_QUARANTINE
            || worker.placements().isEmpty();
    return spread
        && trusted
        && spec.reservation().fitsIn(free)
        && permitted(task.step(), worker, now);
  }

  private boolean better(Task task, Worker worker, Worker best) {
    int difference = Integer.compare(penalty(task, worker), penalty(task, best));
    if (difference != 0) {
      return difference < 0;
    }
    return worker.free().processorsMillicores() < best.free().processorsMillicores();
  }

  private static int penalty(Task task, Worker worker) {
    String dataRack = task.step().spec().dataRack();
    int penalty = 0;
    if (task.failedOn().contains(worker.id())) {
      penalty += 4;
    }
    if (task.failedCount() > 0 && worker.failuresInARow() > 0) {
      penalty += 2;
    }
    if (!dataRack.isEmpty() && !dataRack.equals(worker.listing().rack())) {
      penalty += 1;
    }
    return penalty;
  }

  private boolean withinLimit(StepRun step, int taskCount) {
    String team = step.job().team();
    Resources more = step.spec().demand().times(taskCount);
    return state
        .config()
        .team(team)
        .map(share -> share.allows(state.usageOf(team).plus(more)))
        .orElse(true);
  }

  private void start(Task task, Worker worker, int run, Moment now) {
    Placement placement =
        new Placement(task, run, worker, worker.incarnation(), now.steadyMillis());
    state.place(placement);
    state.startsAfterwards().add(placement);
    Job job = task.step().job();
    if (job.phase() == JobPhase.PENDING) {
      job.phase(JobPhase.RUNNING);
    }
    state.change(job);
  }

  /** Workers kept for gangs that found no room, from steps of less urgent queues. */
  private static final class Reservation {

    private final Map<Worker, Integer> priorityByWorker = new HashMap<>();

    /** Returns whether a worker is kept from steps of queues with {@code priority}. */
    boolean holds(Worker worker, int priority) {
      return priority > priorityByWorker.getOrDefault(worker, Integer.MAX_VALUE);
    }

    void offer(StepRun step, List<Worker> candidates) {
      int missing = RESERVATION_FACTOR * step.tasks().size();
      for (Worker worker : candidates) {
        boolean full = priorityByWorker.size() >= candidates.size() * MAX_RESERVED_PART;
        if (missing <= 0 || full) {
          return;
        }
        boolean good = step.tickets().isEmpty() || step.tickets().containsKey(worker.id());
        if (good && !priorityByWorker.containsKey(worker)) {
          priorityByWorker.put(worker, step.job().queue().priority());
          missing -= slots(step, worker);
        }
      }
    }

    private static int slots(StepRun step, Worker worker) {
      long needed = step.spec().reservation().processorsMillicores();
      long capacity = worker.listing().capacity().processorsMillicores();
      long slots = needed <= 0 ? 1 : capacity / needed;
      return (int) Math.max(1, Math.min(slots, step.tasks().size()));
    }
  }
}
