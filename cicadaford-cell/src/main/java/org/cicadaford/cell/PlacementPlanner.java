package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
    List<Worker> candidates = new ArrayList<>();
    for (Worker worker : usable) {
      boolean labelled =
          spec.requiredLabel().isEmpty()
              || worker.listing().labels().contains(spec.requiredLabel());
      if (labelled && !reservation.holds(worker, step.job().queue().priority())) {
        candidates.add(worker);
      }
    }
    boolean placed =
        spec.gang() ? placeGang(step, candidates, now) : placeTasks(step, candidates, now);
    if (!placed) {
      askAdvice(step, candidates, now);
      if (spec.gang()) {
        reservation.offer(step, candidates);
      }
    }
  }

  private void askAdvice(StepRun step, List<Worker> candidates, Moment now) {
    AdvicePolicy policy = state.queueOf(step.job()).advice();
    if (!policy.needed()) {
      return;
    }
    Resources demand = step.spec().reservation();
    List<Worker> withRoom =
        candidates.stream()
            .filter(worker -> demand.fitsIn(worker.free()))
            .filter(worker -> step.ticketFor(worker, neededUntil(now)) == null)
            .toList();
    advice.ask(
        step,
        policy,
        advice.toName(step, withRoom, state.settings().adviceWorkerCount()),
        now.steadyMillis());
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
    boolean probing = worker.failuresInARow() > 0 && worker.free().equals(free);
    boolean trusted =
        worker.failuresInARow() < Worker.FAILURES_BEFORE_QUARANTINE
            || (probing && worker.placements().isEmpty() && task.failedCount() == 0);
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

  /** Workers kept for the first gang that found no room. */
  private final class Reservation {

    private final Set<Worker> workers = new HashSet<>();
    private int priority = Integer.MAX_VALUE;

    /** Returns whether a worker is kept from steps of queues with {@code otherPriority}. */
    boolean holds(Worker worker, int otherPriority) {
      return otherPriority > priority && workers.contains(worker);
    }

    void offer(StepRun step, List<Worker> candidates) {
      if (!workers.isEmpty()) {
        return;
      }
      int missing = step.tasks().size();
      for (Worker worker : candidates) {
        if (missing <= 0) {
          break;
        }
        if (!step.advisedAgainst().contains(worker.id())) {
          workers.add(worker);
          missing -= slots(step, worker);
        }
      }
      priority = step.job().queue().priority();
    }

    private int slots(StepRun step, Worker worker) {
      Resources demand = step.spec().reservation();
      long capacity = worker.listing().capacity().processorsMillicores();
      long slots =
          demand.processorsMillicores() <= 0 ? 1 : capacity / demand.processorsMillicores();
      return (int) Math.max(1, Math.min(slots, step.tasks().size()));
    }
  }
}
