package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cicadaford.model.Resources;

/** State of the cell that the parts of the coordinator share; one thread uses it. */
final class CellState {

  /** Parts of the name of a task: job, occurrence, step and index. */
  private static final int NAME_PARTS = 4;

  private final CoordinatorSettings settings;
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private final Map<String, Resources> usageByTeam = new HashMap<>();
  private final Set<Job> timedJobs = new LinkedHashSet<>();
  private final Set<StepRun> ready = new LinkedHashSet<>();
  private final Set<Job> changed = new LinkedHashSet<>();
  private final List<RecordWrite> deletions = new ArrayList<>();
  private final List<Action> afterwards = new ArrayList<>();
  private final List<Placement> startsAfterwards = new ArrayList<>();
  private final List<Action> actions = new ArrayList<>();
  private CellConfig config = CellConfig.EMPTY;
  private Set<String> zonesOut = Set.of();
  private boolean planWanted;
  private OptionalLong roleConfirmedAtMillis = OptionalLong.empty();

  CellState(CoordinatorSettings settings) {
    this.settings = settings;
  }

  CoordinatorSettings settings() {
    return settings;
  }

  void roleConfirmed(long atMillis) {
    roleConfirmedAtMillis = ElapsedTime.later(roleConfirmedAtMillis, atMillis);
  }

  /** Returns whether this coordinator may still extend leases without the store's confirmation. */
  boolean mayExtendLeases(long nowMillis) {
    return ElapsedTime.within(roleConfirmedAtMillis, nowMillis, settings.leaseWithoutStoreMillis());
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
    return job.occurrences().values().stream()
        .flatMap(List::stream)
        .flatMap(step -> step.tasks().stream())
        .filter(task -> task.name().equals(name))
        .findFirst();
  }

  Map<String, Worker> workers() {
    return workers;
  }

  CellConfig config() {
    return config;
  }

  void config(CellConfig newConfig) {
    config = newConfig;
    planWanted = true;
  }

  Set<String> zonesOut() {
    return zonesOut;
  }

  void zonesOut(Set<String> zones) {
    zonesOut = Set.copyOf(zones);
    planWanted = true;
  }

  /** Returns the queue as configured now, or as of the job's acceptance if it was removed. */
  Queue queueOf(Job job) {
    return config.queue(job.queue().name()).orElse(job.queue());
  }

  /** Returns the steps that may have tasks to place. */
  Set<StepRun> ready() {
    return ready;
  }

  /** Marks a step as having tasks to place, if it is unblocked and its job goes on. */
  void consider(StepRun step) {
    Job job = step.job();
    if (!job.phase().over() && step.startable() && job.unblocked(step)) {
      ready.add(step);
      planWanted = true;
    }
  }

  boolean planWanted() {
    return planWanted;
  }

  void planWanted(boolean wanted) {
    planWanted = wanted;
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

  Resources usageOf(String team) {
    return usageByTeam.getOrDefault(team, Resources.NONE);
  }

  void place(Placement placement) {
    Task task = placement.task();
    task.place(placement);
    task.lastRun(placement.run());
    placement.worker().add(placement);
    count(task, 1);
  }

  /** Frees what a placement held; the task may run again from now on. */
  void release(Placement placement) {
    Task task = placement.task();
    if (task.placement() != placement) {
      return;
    }
    task.place(null);
    placement.worker().remove(placement);
    count(task, -1);
    task.step().job().dropIdle(task.step().occurrence());
    change(task.step().job());
    planWanted = true;
  }

  private void count(Task task, int sign) {
    Resources demand = task.step().spec().demand().times(sign);
    usageByTeam.merge(task.step().job().team(), demand, Resources::plus);
  }

  /** Orders a run to be stopped, or withdraws it if its start was not sent yet. */
  void stop(Placement placement, StopReason reason, long nowMillis) {
    placement.wantStop(reason);
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
