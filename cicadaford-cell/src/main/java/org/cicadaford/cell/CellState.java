package org.cicadaford.cell;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** Holds the state of the cell that the coordinator components share; confined to one thread. */
final class CellState {

  /** Number of parts of a task name: job, occurrence, step and index. */
  private static final int TASK_NAME_PARTS = 4;

  private final CoordinatorSettings settings;
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Map<String, Worker> workers = new LinkedHashMap<>();

  private final RemovedWorkerTokens removedTokens = new RemovedWorkerTokens();
  private final EventSequence events = new EventSequence();
  private final CurrentInput currentInput = new CurrentInput();
  private final TeamUsageTracker usageTracker = new TeamUsageTracker();
  private final LimitReservations limitReservations = new LimitReservations(this);
  private final LimitPreemptor preemptor = new LimitPreemptor(this);
  private final ShortageMonitor shortages = new ShortageMonitor(this);
  private final Set<Job> recurringJobs = new LinkedHashSet<>();
  private final WaitingSteps waiting = new WaitingSteps();
  private final WorkerListAge workerListAge = new WorkerListAge(this);
  private final Set<Worker> changedWorkers = new LinkedHashSet<>();
  private final Set<Worker> workersWithUnstoredEnds = new LinkedHashSet<>();
  private final Set<Placement> stopping = new LinkedHashSet<>();
  private final Set<Worker> workersToRenew = new LinkedHashSet<>();
  private final PendingJobCounter pendingJobs = new PendingJobCounter(new BegunJobRecorder(this));
  private final Deque<Job> endedJobs = new ArrayDeque<>();
  private final Set<Job> jobsToStore = new LinkedHashSet<>();
  private final EarlyCancellations earlyCancellations = new EarlyCancellations();
  private final FaultHistory faultHistory = new FaultHistory();
  private final List<RecordWrite> otherWrites = new ArrayList<>();
  private final List<Action> actionsAfterStore = new ArrayList<>();
  private final List<Placement> startsAfterStore = new ArrayList<>();
  private final List<Action> actions = new ArrayList<>();
  private CellConfig config = CellConfig.EMPTY;
  private Set<String> zonesOut = Set.of();
  private ClockReading roleConfirmedAt;
  private OptionalLong earlierLeaseExpiryMillis = OptionalLong.empty();

  CellState(CoordinatorSettings settings) {
    this.settings = settings;
  }

  CoordinatorSettings settings() {
    return settings;
  }

  /** Returns the name of the input that is being applied. */
  CurrentInput currentInput() {
    return currentInput;
  }

  void roleConfirmed(ClockReading sentAt) {
    boolean newer =
        roleConfirmedAt == null || sentAt.monotonicMillis() > roleConfirmedAt.monotonicMillis();
    roleConfirmedAt = newer ? sentAt : roleConfirmedAt;
  }

  /**
   * Returns the longest lease that may be granted now. It ends a bounded time after the store last
   * confirmed the leadership, because a successor waits for that time. Time for which this instance
   * was suspended counts, as the clocks of workers go on.
   */
  long grantableLeaseMillis(ClockReading now) {
    if (roleConfirmedAt == null) {
      return 0;
    }
    long confirmedForMillis = now.millisSince(roleConfirmedAt);
    return Math.min(
        settings.maxLeaseMillis(), settings.maxLeaseSinceStoreMillis() - confirmedForMillis);
  }

  Map<String, Job> jobs() {
    return jobs;
  }

  /** Returns the recurring jobs that have not ended. */
  Set<Job> recurringJobs() {
    return recurringJobs;
  }

  /** Returns the task of that name, if its occurrence has begun and has not completed. */
  Optional<Task> task(String name) {
    String[] parts = name.split("\\.");
    if (parts.length != TASK_NAME_PARTS) {
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
      // The name was not issued by this cell.
      return Optional.empty();
    }
  }

  Map<String, Worker> workers() {
    return workers;
  }

  /** Returns the age of the list that the workers were last updated from. */
  WorkerListAge workerListAge() {
    return workerListAge;
  }

  /** Returns the worker with that id, which is added if it is not known. */
  Worker workerOrNew(String id, long incarnation) {
    Worker known = workers.get(id);
    if (known != null) {
      return known;
    }
    Worker worker =
        new Worker(id, incarnation, removedTokens.offsetOf(id), settings.bounds().drainMillis());
    recordEarlierLease(worker);
    workers.put(id, worker);
    return worker;
  }

  /** Records the time of a takeover; earlier coordinators may have granted leases until then. */
  void takenOver(long nowMillis) {
    earlierLeaseExpiryMillis = OptionalLong.of(nowMillis + settings.earlierLeaseExpiryMillis());
  }

  /**
   * Records the lease that an earlier coordinator may have granted to an incarnation of a worker.
   * The worker applies it also to the runs that this coordinator starts there.
   */
  void recordEarlierLease(Worker worker) {
    earlierLeaseExpiryMillis.ifPresent(worker::recordLeaseExpiry);
  }

  void removeWorker(Worker worker) {
    workers.remove(worker.id());
    removedTokens.remember(worker.id(), worker.incarnations().tokenOffset());
  }

  /** Returns the placement of a run on a worker, or null. */
  Placement placement(String workerId, String task, int run) {
    Worker worker = workers.get(workerId);
    Placement placement = worker == null ? null : worker.placements().get(task);
    return placement != null && placement.run() == run ? placement : null;
  }

  /** Returns the sequence that orders answers of workers and requests to them. */
  EventSequence events() {
    return events;
  }

  CellConfig config() {
    return config;
  }

  void config(CellConfig newConfig) {
    config = newConfig;
    List<StepRun> steps = List.copyOf(waiting.all());
    steps.forEach(waiting::remove);
    steps.forEach(this::addWaiting);
  }

  Set<String> zonesOut() {
    return zonesOut;
  }

  void zonesOut(Set<String> zones) {
    zonesOut = Set.copyOf(zones);
    workers.values().forEach(this::markChanged);
  }

  /** Returns the queue as configured now, or as of job acceptance if it has been removed. */
  Queue queueOf(Job job) {
    return config.queue(job.queue().name()).orElse(job.queue());
  }

  /** Marks a worker so that the next pass checks whether a lease renewal is due. */
  void checkRenewal(Worker worker) {
    workersToRenew.add(worker);
  }

  /** Returns and clears the workers whose lease renewal may be due. */
  List<Worker> takeWorkersToRenew() {
    List<Worker> taken = List.copyOf(workersToRenew);
    workersToRenew.clear();
    return taken;
  }

  /** Requests an immediate report from a worker. */
  void requestImmediateReport(Worker worker) {
    worker.requestImmediateReport();
    checkRenewal(worker);
  }

  /** Records that a job is stored in a phase. */
  void markStored(Job job, JobPhase phase) {
    boolean ends = phase.terminal() && !(job.stored() && job.storedPhase().terminal());
    pendingJobs.markStored(job, phase);
    if (ends) {
      endedJobs.add(job);
    }
  }

  /** Returns the count of the jobs that have not begun. */
  PendingJobCounter pendingJobs() {
    return pendingJobs;
  }

  /** Returns the retained ended jobs, in the order in which their end was stored. */
  Deque<Job> endedJobs() {
    return endedJobs;
  }

  /** Returns the steps that may have tasks to place. */
  WaitingSteps waiting() {
    return waiting;
  }

  private void addWaiting(StepRun step) {
    Queue queue = queueOf(step.job());
    waiting.add(step, queue.service(), queue.advice().required());
  }

  /** Marks a worker whose free capacity, state or reachability may have changed. */
  void markChanged(Worker worker) {
    changedWorkers.add(worker);
  }

  /** Returns and clears the workers marked as changed. */
  List<Worker> takeChangedWorkers() {
    List<Worker> taken = List.copyOf(changedWorkers);
    changedWorkers.clear();
    return taken;
  }

  boolean anyWorkerChanged() {
    return !changedWorkers.isEmpty();
  }

  /** Returns the workers that have reported run ends whose effects are not stored yet. */
  Set<Worker> workersWithUnstoredEnds() {
    return workersWithUnstoredEnds;
  }

  /** Queues a step for placement if it is ready and its job has not ended. */
  void enqueueIfPlaceable(StepRun step) {
    Job job = step.job();
    if (!job.phase().terminal() && step.placeable() && job.dependenciesDone(step)) {
      addWaiting(step);
    }
  }

  /** Marks a job so that its progress is stored with the next batch. */
  void markForStore(Job job) {
    jobsToStore.add(job);
  }

  Set<Job> jobsToStore() {
    return jobsToStore;
  }

  /** Returns the writes to store before those of the jobs. */
  List<RecordWrite> otherWrites() {
    return otherWrites;
  }

  EarlyCancellations earlyCancellations() {
    return earlyCancellations;
  }

  FaultHistory faultHistory() {
    return faultHistory;
  }

  /** Returns the actions to be released once the next batch is stored. */
  List<Action> actionsAfterStore() {
    return actionsAfterStore;
  }

  /** Returns the placements whose start orders are sent once the next batch is stored. */
  List<Placement> startsAfterStore() {
    return startsAfterStore;
  }

  /** Returns the actions that may be carried out immediately. */
  List<Action> actions() {
    return actions;
  }

  /** Returns the tracker of the resource usage of teams. */
  TeamUsageTracker usageTracker() {
    return usageTracker;
  }

  /** Returns the reservations of more urgent work within the limit of its team. */
  LimitReservations limitReservations() {
    return limitReservations;
  }

  /** Returns the preemptor of less urgent work within a team. */
  LimitPreemptor preemptor() {
    return preemptor;
  }

  ShortageMonitor shortages() {
    return shortages;
  }

  void place(Placement placement) {
    Task task = placement.task();
    currentInput.beginAccounting(placement);
    task.place(placement);
    task.lastRun(Math.max(task.lastRun(), placement.run()));
    placement.worker().add(placement);
    markChanged(placement.worker());
    preemptor.placed(placement);
    shortages.placed(placement);
    Job job = task.step().job();
    usageTracker.add(
        job.team(),
        job.queue().priority(),
        task.step().spec().demand(),
        placement.orderedAtMillis());
    currentInput.endAccounting();
  }

  /** Releases the resources of a placement; the task may be placed again afterwards. */
  void release(Placement placement) {
    Task task = placement.task();
    if (task.placement() != placement) {
      return;
    }
    currentInput.beginAccounting(placement);
    task.place(null);
    stopping.remove(placement);
    placement.worker().remove(placement);
    preemptor.released(placement);
    shortages.released(placement);
    Job job = task.step().job();
    usageTracker.remove(job.team(), job.queue().priority(), task.step().spec().demand());
    job.removeIfIdle(task.step().occurrence());
    pendingJobs.placementReleased(job);
    markForStore(job);
    markChanged(placement.worker());
    waiting.retryTeam(job.team());
    currentInput.endAccounting();
  }

  /** Returns the placements whose runs are to be stopped. */
  Set<Placement> stopping() {
    return stopping;
  }

  /** Requests the stop of a run; the periodic check sends the order. */
  void requestStop(Placement placement, StopReason reason) {
    placement.requestStop(reason);
    stopping.add(placement);
  }

  /** Sends a stop order for a run; a start that has not been sent yet is only withdrawn. */
  void stop(Placement placement, StopReason reason, long nowMillis) {
    requestStop(placement, reason);
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
    sendStop(worker, placement.task().name(), placement.run(), placement.stopReason());
  }

  /** Sends a stop order to a listed worker. */
  void sendStop(Worker worker, String task, int run, StopReason reason) {
    actions.add(new Action.StopTask(worker.id(), worker.listing().address(), task, run, reason));
  }
}
