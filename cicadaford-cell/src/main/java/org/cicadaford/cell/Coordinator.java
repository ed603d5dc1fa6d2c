package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Decides for a whole cell: takes jobs, places their tasks, follows workers and records results.
 *
 * <p>It does no input or output and is used by one thread. Events come in with the present time;
 * {@link #takeBatch} returns changes to store, and what relies on them is returned by {@link
 * #takeActions} only after {@link #batchStored}.
 */
public final class Coordinator {

  /** Time between two rounds of upkeep, in milliseconds. */
  private static final long UPKEEP_MILLIS = 25;

  /** Ends of a worker up to a number, whose effects are part of the batch being stored. */
  private record RecordedEnds(Worker worker, long incarnation, long number) {

    void apply() {
      if (worker.incarnation() == incarnation) {
        worker.recordedEnd(number);
      }
    }
  }

  /** Time between two searches for ended jobs to be removed, in milliseconds. */
  private static final long REMOVAL_MILLIS = 1_000;

  private final CellState state;
  private final RunEndHandler ends;
  private final WorkerMonitor monitor;
  private final AdviceDesk advice;
  private final PlacementPlanner planner;
  private final StartIssuer starts;
  private final DrainMover drains;
  private final AdmissionPolicy admission;
  private final List<Job> storing = new ArrayList<>();
  private final List<JobPhase> storingPhases = new ArrayList<>();
  private final List<Placement> storingStarts = new ArrayList<>();
  private final List<Action> storingActions = new ArrayList<>();
  private final List<RecordedEnds> storingEnds = new ArrayList<>();
  private boolean batchOpen;
  private OptionalLong nextUpkeepMillis = OptionalLong.empty();
  private OptionalLong nextRemovalMillis = OptionalLong.empty();

  /** Creates a coordinator that knows nothing yet. */
  public Coordinator(CoordinatorSettings settings) {
    state = new CellState(settings);
    admission = new AdmissionPolicy(state);
    ends = new RunEndHandler(state);
    monitor = new WorkerMonitor(state, ends);
    advice = new AdviceDesk(state);
    UsableWorkers usable = new UsableWorkers(state);
    GangReservations reservations = new GangReservations();
    AdvicePlanner advicePlanner = new AdvicePlanner(state, usable, reservations, advice);
    planner = new PlacementPlanner(state, usable, reservations, advicePlanner);
    starts = new StartIssuer(state, ends);
    drains = new DrainMover(state);
  }

  /** Rebuilds the state from stored records; returns the keys of those that are unreadable. */
  public List<String> restore(List<RecordWrite> records, ClockReading now) {
    List<String> unreadable = new JobRestorer(state, monitor).restore(records, now);
    return unreadable;
  }

  /** Takes a configuration; older versions than the present one are ignored. */
  public void configure(CellConfig config, Set<String> zonesOut) {
    if (config.version() >= state.config().version()) {
      state.config(config);
    }
    state.zonesOut(zonesOut);
  }

  /** Records that the store accepted an append of this coordinator sent at that time. */
  public void roleConfirmed(long sentAtMillis) {
    state.roleConfirmed(sentAtMillis);
  }

  /** Takes the platform's list of workers. */
  public void workersListed(List<ListedWorker> workers, ClockReading now) {
    monitor.listed(workers, now);
  }

  /** Takes the instances that can ask for advice. */
  public void adviceCallersChanged(Set<String> instanceIds, ClockReading now) {
    advice.agents(instanceIds, now.monotonicMillis());
  }

  /** Takes a submission. */
  public AdmissionDecision submit(
      String jobId, Queue queue, Submitter submitter, JobSpec spec, ClockReading now) {
    Job known = state.jobs().get(jobId);
    if (known != null) {
      if (known.stored()) {
        return new AdmissionDecision.AlreadyStored();
      }
      state.afterwards().add(new Action.ConfirmSubmission(jobId));
      return new AdmissionDecision.Storing();
    }
    String team = submitter.team();
    double rate = state.config().team(team).map(TeamShare::weight).orElse(0.0);
    boolean excess = admission.isExcess(team, rate, now.monotonicMillis());
    Job job =
        new Job(
            new JobDefinition(
                jobId, queue, team, submitter.zone(), now.unixMillis(), excess, spec));
    Optional<AdmissionDecision.Refused> refusal = admission.refusal(job, now);
    if (refusal.isPresent()) {
      return refusal.get();
    }
    state.jobs().put(jobId, job);
    state.change(job);
    state.afterwards().add(new Action.ConfirmSubmission(jobId));
    if (spec.timed()) {
      state.timedJobs().add(job);
    }
    beginDue(job, now);
    return new AdmissionDecision.Storing();
  }

  /** Takes a cancellation; returns whether the job is known, so that a confirmation follows. */
  public boolean cancel(String jobId, ClockReading now) {
    Job job = state.jobs().get(jobId);
    if (job == null) {
      return false;
    }
    if (!job.phase().over()) {
      ends.end(job, JobPhase.CANCELLED, now);
      for (Placement placement : job.placements()) {
        state.wantStop(placement, StopReason.CANCELLED);
      }
    }
    state.change(job);
    state.afterwards().add(new Action.ConfirmCancellation(jobId));
    return true;
  }

  /** Returns a job that is stored. */
  public Optional<JobView> job(String jobId) {
    Job job = state.jobs().get(jobId);
    if (job == null || !job.stored()) {
      return Optional.empty();
    }
    return Optional.of(new JobView(job.team(), job.queueName(), job.storedPhase()));
  }

  /** Returns the number of accepted jobs of a queue without a start. */
  public int pendingCount(String queueName) {
    return state.pendingCount(queueName);
  }

  /** Takes the answer to an order to start a task. */
  public void startAnswered(
      String workerId,
      String task,
      int run,
      StartOutcome outcome,
      long clockMillis,
      ClockReading now) {
    Placement placement = placement(workerId, task, run);
    if (placement == null || placement.stage() != Placement.Stage.STARTING) {
      return;
    }
    long nowMillis = now.monotonicMillis();
    if (clockMillis > 0) {
      placement.worker().clock(clockMillis, nowMillis);
    }
    switch (outcome) {
      case STARTED -> {
        placement.confirmed(nowMillis);
        if (placement.stopWanted()) {
          state.sendStop(placement, nowMillis);
        }
      }
      case BAD_TICKET -> {
        placement.task().step().tickets().remove(workerId);
        state.waiting().forbid(placement.task().step(), workerId);
        ends.lost(placement, now);
      }
      case NO_ROOM, NOT_STARTED -> {
        placement.worker().turnedDown(nowMillis);
        ends.lost(placement, now);
      }
      case FENCED, UNKNOWN -> {
        // The order may be carried out or on its way. The next report tells whether the run is
        // there; if not, it is stopped before it is placed again.
        placement.uncertain(nowMillis);
        state.look(placement.worker());
      }
      default -> throw new IllegalStateException("unknown outcome " + outcome);
    }
  }

  /** Takes a worker's confirmation that a run is stopped or will never start. */
  public void stopConfirmed(String workerId, String task, int run, ClockReading now) {
    Placement placement = placement(workerId, task, run);
    if (placement != null) {
      placement.stopConfirmed(now.monotonicMillis());
      if (placement.stage() == Placement.Stage.STARTING) {
        placement.uncertain(now.monotonicMillis());
      }
      if (placement.stage() == Placement.Stage.UNCERTAIN) {
        state.look(placement.worker());
      }
    }
  }

  private Placement placement(String workerId, String task, int run) {
    Worker worker = state.workers().get(workerId);
    Placement placement = worker == null ? null : worker.placements().get(task);
    return placement != null && placement.run() == run ? placement : null;
  }

  /** Takes a worker's report. */
  public void reportReceived(WorkerReport report, ClockReading now) {
    monitor.report(report, now);
  }

  /** Takes the failure of a renewal; {@code gone} says that another instance has the address. */
  public void renewalFailed(String workerId, boolean gone, ClockReading now) {
    monitor.renewalFailed(workerId, gone, now);
  }

  /** Takes the tickets that a call for advice has returned, by worker. */
  public void adviceAnswered(
      long callId, Map<String, String> tickets, long validMillis, ClockReading now) {
    advice.answered(callId, tickets, validMillis, now.monotonicMillis());
  }

  /** Takes the failure of a call for advice. */
  public void adviceFailed(long callId, ClockReading now) {
    advice.failed(callId, now.monotonicMillis());
  }

  /** Does what is due at this time and plans, if anything has changed. */
  public void advance(ClockReading now) {
    if (!ElapsedTime.isFuture(nextUpkeepMillis, now.monotonicMillis())) {
      nextUpkeepMillis = OptionalLong.of(now.monotonicMillis() + UPKEEP_MILLIS);
      monitor.tick(now);
      drains.tick(now);
      state.timedJobs().removeIf(job -> job.phase().over());
      state.timedJobs().forEach(job -> beginDue(job, now));
      planner.tick(now);
      planner.plan(now);
    } else if (planner.wanted()) {
      planner.plan(now);
    }
    if (!ElapsedTime.isFuture(nextRemovalMillis, now.monotonicMillis())) {
      nextRemovalMillis = OptionalLong.of(now.monotonicMillis() + REMOVAL_MILLIS);
      removeExpired(now);
    }
    state.actions().addAll(monitor.dueRenewals(state.takeRenewalChecks(), now));
  }

  private void removeExpired(ClockReading now) {
    long keptMillis = state.settings().keepEndedMillis();
    Deque<Job> ended = state.ended();
    while (!ended.isEmpty() && now.unixMillis() - ended.peek().endedAtMillis() > keptMillis) {
      Job job = ended.poll();
      if (!job.placements().isEmpty()) {
        // Its last run is not over yet; the job is looked at again after the others.
        ended.add(job);
        return;
      }
      state.jobs().remove(job.id());
      state.changed().remove(job);
      state.deletions().add(JobRecords.progressDeletion(job));
    }
  }

  private void beginDue(Job job, ClockReading now) {
    int occurrence = job.nextOccurrence();
    while (occurrence < job.spec().runCount()
        && job.spec().dueMillis(occurrence) <= now.unixMillis()) {
      job.begin(occurrence).forEach(state::consider);
      state.change(job);
      occurrence = job.nextOccurrence();
    }
  }

  /** Returns changes to store, if there are any and none are being stored. */
  public Optional<Batch> takeBatch() {
    boolean nothing =
        state.changed().isEmpty() && state.deletions().isEmpty() && state.afterwards().isEmpty();
    if (batchOpen || (nothing && state.unrecorded().isEmpty())) {
      return Optional.empty();
    }
    List<RecordWrite> writes = new ArrayList<>(state.deletions());
    for (Job job : state.changed()) {
      if (!job.stored()) {
        writes.add(JobRecords.definition(job));
      }
      writes.add(JobRecords.progress(job));
      if (job.definitionDroppable()) {
        job.markDefinitionDropped();
        writes.add(JobRecords.definitionDeletion(job));
      }
      storing.add(job);
      storingPhases.add(job.phase());
    }
    storingActions.addAll(state.afterwards());
    storingStarts.addAll(state.startsAfterwards());
    for (Worker worker : state.unrecorded()) {
      storingEnds.add(new RecordedEnds(worker, worker.incarnation(), worker.processedEnd()));
    }
    state.unrecorded().clear();
    state.changed().clear();
    state.deletions().clear();
    state.afterwards().clear();
    state.startsAfterwards().clear();
    batchOpen = true;
    return Optional.of(new Batch(writes, List.copyOf(storingActions)));
  }

  /** Takes the confirmation that the last batch is stored. */
  public void batchStored(ClockReading now) {
    batchOpen = false;
    for (int index = 0; index < storing.size(); index++) {
      Job job = storing.get(index);
      boolean ended = storingPhases.get(index).over() && !job.storedPhase().over();
      state.stored(job, storingPhases.get(index));
      if (ended) {
        long ageMillis = now.unixMillis() - job.definition().acceptedAtMillis();
        long objectiveMillis = job.objective().objectiveMillis();
        state
            .actions()
            .add(
                new Action.ReportJobEnd(
                    job.id(),
                    job.phase(),
                    job.queueName(),
                    job.team(),
                    ageMillis,
                    objectiveMillis,
                    job.waitTimes().summary()));
      }
    }
    for (Job job : storing) {
      if (job.phase() == JobPhase.CANCELLED && job.storedPhase() == JobPhase.CANCELLED) {
        job.placements().forEach(placement -> stopOnce(placement, now));
      }
    }
    for (RecordedEnds recorded : storingEnds) {
      recorded.apply();
      state.checkRenewal(recorded.worker());
    }
    storingStarts.forEach(placement -> starts.issue(placement, now));
    state.actions().addAll(storingActions);
    storing.clear();
    storingPhases.clear();
    storingEnds.clear();
    storingStarts.clear();
    storingActions.clear();
  }

  private void stopOnce(Placement placement, ClockReading now) {
    if (!placement.stopSent()) {
      state.stop(placement, StopReason.CANCELLED, now.monotonicMillis());
    }
  }

  /** Returns the actions that may be carried out now. */
  public List<Action> takeActions() {
    List<Action> taken = List.copyOf(state.actions());
    state.actions().clear();
    return taken;
  }

  /** Returns the number of known workers. */
  public int workerCount() {
    return state.workers().size();
  }

  /** Returns the availability zone of a worker, if it was listed. */
  public Optional<String> zoneOf(String workerId) {
    return Optional.ofNullable(state.workers().get(workerId))
        .map(Worker::listing)
        .map(ListedWorker::zone);
  }

  /** Returns counts for the status page and the metrics, by name. */
  public Map<String, Long> counts() {
    Map<String, Long> counts = new HashMap<>();
    counts.put("jobs", (long) state.jobs().size());
    counts.put("ready_steps", (long) state.waiting().all().size());
    counts.put("workers", (long) state.workers().size());
    return counts;
  }
}
