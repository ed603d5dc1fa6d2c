package org.cicadaford.cell;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cicadaford.cell.learning.SpeedClass;

/**
 * Makes the scheduling decisions of a cell, from submission to the recorded result.
 *
 * <p>Performs no I/O and is confined to one thread; events carry the current time. Actions that
 * depend on a batch are returned by {@link #takeActions} only after {@link #batchStored}.
 */
public final class Coordinator {

  /** Interval of the periodic checks, in milliseconds. */
  private static final long TICK_INTERVAL_MILLIS = 25;

  private final CellState state;
  private final RunEndHandler endHandler;
  private final OrderAnswerHandler answerHandler;
  private final EarlierOrderGuard earlierOrderGuard;
  private final WorkerMonitor monitor;
  private final SpeedLearner speeds;
  private final RenewalPlanner renewalPlanner;
  private final AdviceDispatcher dispatcher;
  private final PlacementPlanner planner;
  private final BatchTracker batches;
  private final DrainEvictor drainEvictor;
  private final AdmissionPolicy admissionPolicy;
  private final EndedJobRemover endedJobRemover;
  private final EarlyCancellationHandler earlyCancellationHandler;
  private OptionalLong nextTickMillis = OptionalLong.empty();

  /** Creates a coordinator with an empty state. */
  public Coordinator(CoordinatorSettings settings) {
    this(settings, SpeedLearner.MIN_WORKERS);
  }

  /** Creates a coordinator that uses the speeds of workers from a number of workers. */
  Coordinator(CoordinatorSettings settings, int minSpeedWorkers) {
    state = new CellState(settings);
    admissionPolicy = new AdmissionPolicy(state);
    PlacementReporter reporter = new PlacementReporter(state);
    endHandler = new RunEndHandler(state, reporter);
    earlierOrderGuard = new EarlierOrderGuard(state);
    answerHandler = new OrderAnswerHandler(state, endHandler, reporter, earlierOrderGuard);
    CrashAttributor crashes = new CrashAttributor(state, endHandler, reporter);
    speeds = new SpeedLearner(state, minSpeedWorkers);
    monitor = new WorkerMonitor(state, endHandler, reporter, crashes, speeds, earlierOrderGuard);
    renewalPlanner = new RenewalPlanner(state);
    dispatcher = new AdviceDispatcher(state);
    SchedulableWorkerIndex workerIndex = new SchedulableWorkerIndex(state);
    GangReservations reservations = new GangReservations();
    AdvicePlanner advicePlanner = new AdvicePlanner(state, workerIndex, reservations, dispatcher);
    planner = new PlacementPlanner(state, workerIndex, reservations, advicePlanner);
    batches =
        new BatchTracker(
            state, new StartIssuer(state, endHandler), new RefusedRecordHandler(state, endHandler));
    drainEvictor = new DrainEvictor(state);
    endedJobRemover = new EndedJobRemover(state);
    earlyCancellationHandler = new EarlyCancellationHandler(state, endHandler);
  }

  /** Restores the state from stored records; returns the keys of those that cannot be decoded. */
  public List<String> restore(List<RecordWrite> records, ClockReading now) {
    state.currentInput().begin("restore", "");
    return new JobRestorer(state, monitor).restore(records, now);
  }

  /** Applies a configuration unless its version is lower than that of the current one. */
  public void configure(CellConfig config, Set<String> zonesOut) {
    if (config.version() >= state.config().version()) {
      state.config(config);
    }
    state.zonesOut(zonesOut);
  }

  /** Records that the store accepted an append of this coordinator sent at that time. */
  public void roleConfirmed(ClockReading sentAt) {
    state.roleConfirmed(sentAt);
  }

  /** Updates the workers from the list of the platform that was requested at a time. */
  public void workersListed(
      List<ListedWorker> workers, ClockReading requestedAt, ClockReading now) {
    state.currentInput().begin("worker-list", "");
    monitor.updateListings(workers, now);
    state.workerListAge().read(requestedAt);
  }

  /** Sets the instances that can make calls for placement advice. */
  public void adviceCallersChanged(Set<String> instanceIds, ClockReading now) {
    dispatcher.callersChanged(instanceIds, now.monotonicMillis());
  }

  /** Accepts or refuses a submitted job; a job id that is already known is not accepted twice. */
  public AdmissionDecision submit(
      String jobId, Queue queue, Submitter submitter, JobSpec spec, ClockReading now) {
    state.currentInput().begin("submission", jobId);
    Job existing = state.jobs().get(jobId);
    if (existing != null) {
      if (existing.stored()) {
        return new AdmissionDecision.AlreadyStored();
      }
      state.actionsAfterStore().add(new Action.ConfirmSubmission(jobId));
      return new AdmissionDecision.Storing();
    }
    String team = submitter.team();
    double rate = state.config().team(team).map(TeamShare::weight).orElse(0.0);
    boolean excess = admissionPolicy.isExcess(team, rate, now.monotonicMillis());
    Job job =
        new Job(
            new JobDefinition(
                jobId, queue, team, submitter.zone(), now.unixMillis(), excess, spec));
    Optional<AdmissionDecision> cancelled = earlyCancellationHandler.submit(job, now);
    if (cancelled.isPresent()) {
      return cancelled.get();
    }
    Optional<AdmissionDecision.Refused> refusal = admissionPolicy.refusal(job, now);
    if (refusal.isPresent()) {
      return refusal.get();
    }
    state.jobs().put(jobId, job);
    state.markForStore(job);
    state.actionsAfterStore().add(new Action.ConfirmSubmission(jobId));
    if (spec.recurring()) {
      state.recurringJobs().add(job);
    }
    beginDueOccurrences(job, now);
    return new AdmissionDecision.Storing();
  }

  /** Cancels a job; returns whether it is known, in which case a confirmation action follows. */
  public boolean cancel(String jobId, ClockReading now) {
    state.currentInput().begin("cancellation", jobId);
    Job job = state.jobs().get(jobId);
    if (job == null) {
      return false;
    }
    if (!job.phase().terminal()) {
      endHandler.endJob(job, JobPhase.CANCELLED, now);
      for (Placement placement : job.placements()) {
        state.requestStop(placement, StopReason.CANCELLED);
      }
    }
    state.markForStore(job);
    state
        .actionsAfterStore()
        .add(new Action.ConfirmCancellation(jobId, job.queueName(), job.team()));
    return true;
  }

  /**
   * Remembers the cancellation of a job that is not known, whose submission may be on its way; a
   * confirmation action follows. If it cannot be remembered, returns the time until the next one
   * can be, in milliseconds, and nothing follows.
   */
  public OptionalLong cancelUnknown(String jobId, String queue, String team, ClockReading now) {
    return earlyCancellationHandler.cancel(jobId, queue, team, now);
  }

  /** Returns the state of a job, which may not be stored yet. */
  public Optional<JobView> job(String jobId) {
    return Optional.ofNullable(state.jobs().get(jobId))
        .map(
            job ->
                new JobView(
                    job.team(),
                    job.queueName(),
                    job.stored(),
                    job.storedPhase(),
                    job.phase().terminal() && !job.storedPhase().terminal()));
  }

  /** Returns the number of stored jobs of a queue of which no task is known to have started. */
  public int pendingCount(String queueName) {
    return state.pendingJobs().count(queueName);
  }

  /** Handles the answer to a start order. */
  public void startAnswered(
      String workerId,
      String task,
      int run,
      StartOutcome outcome,
      long clockMillis,
      ClockReading now) {
    state.currentInput().begin("start-answer", workerId);
    state.currentInput().concerns(task, run);
    answerHandler.startAnswered(workerId, task, run, outcome, clockMillis, now);
  }

  /**
   * Handles the confirmation of a worker that a run is being stopped or will never start. An
   * earlier incarnation of the worker confirms nothing for the current one.
   *
   * @param requestNumber {@link #lastEventNumber} when the stop was sent
   */
  public void stopConfirmed(
      String workerId, String task, int run, long requestNumber, ClockReading now) {
    state.currentInput().begin("stop-answer", workerId);
    state.currentInput().concerns(task, run);
    answerHandler.stopConfirmed(workerId, task, run, requestNumber, now);
  }

  /** Returns whether the next call of {@link #advance} is to follow within 5 ms. */
  public boolean needsShortRounds() {
    return earlierOrderGuard.probing();
  }

  /** Returns the number of the last event, which a request that is sent now follows. */
  public long lastEventNumber() {
    return state.events().last();
  }

  /**
   * Handles the report of a worker.
   *
   * @param requestNumber {@link #lastEventNumber} when the renewal was sent
   */
  public void reportReceived(WorkerReport report, long requestNumber, ClockReading now) {
    state.currentInput().begin("report", report.workerId());
    monitor.report(report, requestNumber, now);
  }

  /**
   * Handles a failed renewal; {@code gone} means that another worker has the address.
   *
   * @param requestNumber {@link #lastEventNumber} when the renewal was sent
   */
  public void renewalFailed(
      Action.Renew renewal, boolean gone, long requestNumber, ClockReading now) {
    state.currentInput().begin("failed-renewal", renewal.workerId());
    monitor.renewalFailed(renewal, gone, requestNumber, now);
  }

  /** Handles the answer to a call for advice: the tickets by worker id. */
  public void adviceAnswered(
      long callId, Map<String, String> tickets, long validMillis, ClockReading now) {
    state.currentInput().begin("advice", "");
    dispatcher.callAnswered(callId, tickets, validMillis, now.monotonicMillis());
  }

  /** Handles the failure of a call for advice. */
  public void adviceFailed(long callId, ClockReading now) {
    state.currentInput().begin("failed-advice", "");
    dispatcher.callFailed(callId, now.monotonicMillis());
  }

  /** Runs the periodic checks that are due and places tasks if anything has changed. */
  public void advance(ClockReading now) {
    state.currentInput().begin("round", "");
    if (!ElapsedTime.isFuture(nextTickMillis, now.monotonicMillis())) {
      nextTickMillis = OptionalLong.of(now.monotonicMillis() + TICK_INTERVAL_MILLIS);
      monitor.tick(now);
      speeds.tick(now);
      state.pendingJobs().tick(now.monotonicMillis());
      drainEvictor.tick(now);
      state.recurringJobs().removeIf(job -> job.phase().terminal());
      state.recurringJobs().forEach(job -> beginDueOccurrences(job, now));
      planner.tick(now);
      planner.plan(now);
    } else if (planner.hasWork()) {
      planner.plan(now);
    }
    endedJobRemover.tick(now);
    earlierOrderGuard.probe(now.monotonicMillis());
    state.actions().addAll(renewalPlanner.dueRenewals(state.takeWorkersToRenew(), now));
  }

  private void beginDueOccurrences(Job job, ClockReading now) {
    int occurrence = job.nextOccurrence();
    while (occurrence < job.spec().runCount()
        && job.mayBeginOccurrence()
        && job.spec().dueMillis(occurrence) <= now.unixMillis()) {
      job.beginOccurrence(occurrence).forEach(state::enqueueIfPlaceable);
      state.markForStore(job);
      occurrence = job.nextOccurrence();
    }
  }

  /** Returns the changes to store, unless there are none or a batch is still being stored. */
  public Optional<Batch> takeBatch() {
    return batches.take();
  }

  /**
   * Handles records of the last batch that the store refuses for their content; {@link
   * #batchStored} follows, for all others.
   */
  public void recordsRefused(List<RecordWrite> records, ClockReading now) {
    state.currentInput().begin("refused-records", "");
    batches.recordsRefused(records, now);
  }

  /** Handles the confirmation that the last batch is stored. */
  public void batchStored(ClockReading now) {
    state.currentInput().begin("stored-batch", "");
    batches.stored(now);
  }

  /** Returns and removes the actions that may be carried out now. */
  public List<Action> takeActions() {
    List<Action> taken = List.copyOf(state.actions());
    state.actions().clear();
    return taken;
  }

  /** Returns the offset of the {@link FencingToken} of an order to a worker that is sent now. */
  public int tokenOffset(String workerId) {
    Worker worker = state.workers().get(workerId);
    return worker == null ? 0 : worker.incarnations().tokenOffset();
  }

  /**
   * Returns the input that was applied last, its worker or job, and the run that it concerned, as
   * {@code name=value} pairs. After an exception, that is the input which led to it.
   */
  public String lastInput() {
    return state.currentInput().toString();
  }

  /**
   * Returns the record of an internal fault while the last input was applied to a run of a known
   * job, for the successors. Without such a run, no job is known to be the cause.
   */
  public Optional<RecordWrite> faultRecord() {
    CurrentInput input = state.currentInput();
    return state
        .task(input.task())
        .map(Task::step)
        .map(step -> step.job().id())
        .map(jobId -> state.faultHistory().recordOf(jobId, input.task(), input.run()));
  }

  /** Returns the number of known workers. */
  public int workerCount() {
    return state.workers().size();
  }

  /** Returns the availability zone of a worker that has been listed. */
  public Optional<String> zoneOf(String workerId) {
    return Optional.ofNullable(state.workers().get(workerId))
        .map(Worker::listing)
        .map(ListedWorker::zone);
  }

  /** Returns the class of the learnt speed of a worker. */
  Optional<SpeedClass> speedClassOf(String workerId) {
    return Optional.ofNullable(state.workers().get(workerId))
        .map(worker -> worker.speed().speedClass());
  }

  /** Returns the counts shown on the status page and in the metrics, by name. */
  public Map<String, Long> counts() {
    Map<String, Long> counts = new HashMap<>();
    counts.put("jobs", (long) state.jobs().size());
    counts.put("ready_steps", (long) state.waiting().all().size());
    counts.put("early_cancellations", (long) state.earlyCancellations().count());
    counts.put("workers", (long) state.workers().size());
    counts.putAll(speeds.counts());
    counts.put("short_services", state.shortages().shortServiceCount());
    return counts;
  }

  /** Returns 1 for each team that exceeds its share of a short service, and 0 for others. */
  public Map<String, Long> teamsBeyondShare() {
    return state.shortages().teamsBeyondShare();
  }
}
