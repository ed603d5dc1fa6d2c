package org.cicadaford.cell;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** State of the cell that the parts of the coordinator share; one thread uses it. */
final class CellState {

  /** Parts of the name of a task: job, occurrence, step and index. */
  private static final int NAME_PARTS = 4;

  private final CoordinatorSettings settings;
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private final TeamLimits limits = new TeamLimits();
  private final LimitPreemption preemption = new LimitPreemption(this);
  private final Set<Job> timedJobs = new LinkedHashSet<>();
  private final WaitingSteps waiting = new WaitingSteps();
  private final Set<Worker> touched = new LinkedHashSet<>();
  private final Set<Worker> unrecorded = new LinkedHashSet<>();
  private final Set<Placement> stopping = new LinkedHashSet<>();
  private final Set<Worker> renewalChecks = new LinkedHashSet<>();
  private final Map<String, Integer> pendingByQueue = new HashMap<>();
  private final Deque<Job> ended = new ArrayDeque<>();
  private int pendingCount;
  private final Set<Job> changed = new LinkedHashSet<>();
  private final List<RecordWrite> deletions = new ArrayList<>();
  private final List<Action> afterwards = new ArrayList<>();
  private final List<Placement> startsAfterwards = new ArrayList<>();
  private final List<Action> actions = new ArrayList<>();
  private CellConfig config = CellConfig.EMPTY;
  private Set<String> zonesOut = Set.of();
  private OptionalLong roleConfirmedAtMillis = OptionalLong.empty();

  CellState(CoordinatorSettings settings) {
    this.settings = settings;
  }

  CoordinatorSettings settings() {
    return settings;
  }

  void roleConfirmed(long atMillis) {
    roleConfirmedAtMillis = ElapsedTime.latest(roleConfirmedAtMillis, atMillis);
  }

  /**
   * Returns the time for which a lease may be granted now. It ends at a bounded time after the
   * store has confirmed this coordinator's role, as a successor waits for just that time.
   */
  long grantableLeaseMillis(long nowMillis) {
    if (roleConfirmedAtMillis.isEmpty()) {
      return 0;
    }
    long confirmedForMillis = nowMillis - roleConfirmedAtMillis.getAsLong();
    return Math.min(settings.maxLeaseMillis(), settings.leaseReachMillis() - confirmedForMillis);
  }

  Map<String, Job> jobs() {
    return jobs;
  }

  /** Returns the jobs that run at due times and are not over. */
  Set<Job> timedJobs() {
    return timedJobs;
  }

  /** Returns the task of that name, if its occurrence has begun and is not done. */
  Optional<Task> task(String name) {
    String[] parts = name.split("\\.");
    if (parts.length != NAME_PARTS) {
      return Optional.empty();
    }
    Job job = jobs.get(parts[0]);
    if (job == null) {
      return Optional.empty();
    }
    try {
      return job.task(
          Integer.parseInt(parts[1]), Integer.parseInt(parts[2]), Integer.parseInt(parts[3]));
    } catch (NumberFormatException e) {
      // A name that this cell never gave names no task.
      return Optional.empty();
    }
  }

  Map<String, Worker> workers() {
    return workers;
  }

  CellConfig config() {
    return config;
  }

  void config(CellConfig newConfig) {
    config = newConfig;
    List<StepRun> steps = List.copyOf(waiting.all());
    steps.forEach(waiting::remove);
    steps.forEach(this::await);
  }

  Set<String> zonesOut() {
    return zonesOut;
  }

  void zonesOut(Set<String> zones) {
    zonesOut = Set.copyOf(zones);
    workers.values().forEach(this::touch);
  }

  /** Returns the queue as configured now, or as of the job's acceptance if it was removed. */
  Queue queueOf(Job job) {
    return config.queue(job.queue().name()).orElse(job.queue());
  }

  /** Has the next round check whether the renewal of a worker is due. */
  void checkRenewal(Worker worker) {
    renewalChecks.add(worker);
  }

  /** Returns the workers whose renewal may be due, once. */
  List<Worker> takeRenewalChecks() {
    List<Worker> taken = List.copyOf(renewalChecks);
    renewalChecks.clear();
    return taken;
  }

  /** Asks for a report of a worker at once. */
  void look(Worker worker) {
    worker.wantLook();
    checkRenewal(worker);
  }

  /** Notes that a job is stored in a phase. */
  void stored(Job job, JobPhase phase) {
    countPending(job, -1);
    boolean ends = phase.over() && !(job.stored() && job.storedPhase().over());
    job.stored(phase);
    countPending(job, 1);
    if (ends) {
      ended.add(job);
    }
  }

  private void countPending(Job job, int change) {
    if (job.stored() && job.storedPhase() == JobPhase.PENDING) {
      pendingByQueue.merge(job.queueName(), change, Integer::sum);
      pendingCount += change;
    }
  }

  /** Returns the number of stored jobs without a start. */
  int pendingCount() {
    return pendingCount;
  }

  /** Returns the number of stored jobs of a queue without a start. */
  int pendingCount(String queueName) {
    return pendingByQueue.getOrDefault(queueName, 0);
  }

  /** Returns the ended jobs that are kept, in the order in which their end was stored. */
  Deque<Job> ended() {
    return ended;
  }

  /** Returns the steps that may have tasks to place. */
  WaitingSteps waiting() {
    return waiting;
  }

  private void await(StepRun step) {
    Queue queue = queueOf(step.job());
    waiting.add(step, queue.service(), queue.advice().required());
  }

  /** Notes that room, state or reachability of a worker may have changed. */
  void touch(Worker worker) {
    touched.add(worker);
  }

  /** Returns the workers that were touched, once. */
  List<Worker> takeTouched() {
    List<Worker> taken = List.copyOf(touched);
    touched.clear();
    return taken;
  }

  boolean anyTouched() {
    return !touched.isEmpty();
  }

  /** Returns the workers that have reported ends whose effects are not stored yet. */
  Set<Worker> unrecorded() {
    return unrecorded;
  }

  /** Marks a step as having tasks to place, if it is unblocked and its job goes on. */
  void consider(StepRun step) {
    Job job = step.job();
    if (!job.phase().over() && step.startable() && job.unblocked(step)) {
      await(step);
    }
  }

  /** Marks a job as changed, so that its progress is stored with the next batch. */
  void change(Job job) {
    changed.add(job);
  }

  Set<Job> changed() {
    return changed;
  }

  List<RecordWrite> deletions() {
    return deletions;
  }

  /** Returns actions that wait for the next batch to be stored. */
  List<Action> afterwards() {
    return afterwards;
  }

  /** Returns placements whose starts wait for the next batch to be stored. */
  List<Placement> startsAfterwards() {
    return startsAfterwards;
  }

  /** Returns actions to be carried out at once. */
  List<Action> actions() {
    return actions;
  }

  /** Returns what the teams use of their limits. */
  TeamLimits limits() {
    return limits;
  }

  /** Returns what stops work for the sake of more urgent work of the same team. */
  LimitPreemption preemption() {
    return preemption;
  }

  void place(Placement placement) {
    Task task = placement.task();
    task.place(placement);
    task.lastRun(placement.run());
    placement.worker().add(placement);
    touch(placement.worker());
    preemption.placed(placement);
    Job job = task.step().job();
    limits.add(
        job.team(),
        job.queue().priority(),
        task.step().spec().demand(),
        placement.orderedAtMillis());
  }

  /** Frees what a placement held; the task may run again from now on. */
  void release(Placement placement) {
    Task task = placement.task();
    if (task.placement() != placement) {
      return;
    }
    task.place(null);
    stopping.remove(placement);
    placement.worker().remove(placement);
    preemption.released(placement);
    Job job = task.step().job();
    limits.remove(job.team(), job.queue().priority(), task.step().spec().demand());
    job.dropIdle(task.step().occurrence());
    change(job);
    touch(placement.worker());
    waiting.usageFell(job.team());
  }

  /** Returns the placements whose runs are to be stopped. */
  Set<Placement> stopping() {
    return stopping;
  }

  /** Notes that a run is to be stopped; the order is sent with the next round of upkeep. */
  void wantStop(Placement placement, StopReason reason) {
    placement.wantStop(reason);
    stopping.add(placement);
  }

  /** Orders a run to be stopped, or withdraws it if its start was not sent yet. */
  void stop(Placement placement, StopReason reason, long nowMillis) {
    wantStop(placement, reason);
    if (placement.stage() == Placement.Stage.STARTING && !placement.orderSent()) {
      return;
    }
    sendStop(placement, nowMillis);
  }

  void sendStop(Placement placement, long nowMillis) {
    Worker worker = placement.worker();
    if (worker.listing() == null) {
      return;
    }
    placement.stopSent(nowMillis);
    actions.add(
        new Action.StopTask(
            worker.id(),
            worker.listing().address(),
            placement.task().name(),
            placement.run(),
            placement.stopReason()));
  }
}
