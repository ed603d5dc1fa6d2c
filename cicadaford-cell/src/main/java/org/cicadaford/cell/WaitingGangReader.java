package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cicadaford.cell.gang.RemainingTime;
import org.cicadaford.cell.gang.RunProgress;
import org.cicadaford.cell.gang.WaitingGang;
import org.cicadaford.cell.gang.WorkerCapacity;
import org.cicadaford.model.Resources;

/**
 * Describes waiting gangs and the workers that they may use to the scheduler of the gangs.
 *
 * <p>Workers that cannot be reached are left out, so nothing is expected of them.
 */
final class WaitingGangReader {

  /** Ratio of the task slots on the workers considered to the tasks of a gang without advice. */
  private static final int CANDIDATE_FACTOR = 4;

  /** Maximum number of workers considered for a gang without advice. */
  private static final int MAX_CANDIDATES = 400;

  /** Time in which a run that is being stopped has ended, in milliseconds; the longest bound. */
  private static final long STOP_MILLIS = 900;

  private final CellState state;
  private final SchedulableWorkerIndex workerIndex;
  private final RemainingTime remainingTime;

  WaitingGangReader(
      CellState state, SchedulableWorkerIndex workerIndex, RemainingTime remainingTime) {
    this.state = state;
    this.workerIndex = workerIndex;
    this.remainingTime = remainingTime;
  }

  /** Returns the gangs, as far as their team may run them together with those before them. */
  List<WaitingGang> read(List<StepRun> gangs, ClockReading now) {
    Map<String, Resources> plannedByTeam = new HashMap<>();
    Map<Worker, WorkerCapacity> capacities = new HashMap<>();
    List<WaitingGang> waiting = new ArrayList<>();
    for (StepRun step : gangs) {
      String team = step.job().team();
      Resources demand = step.spec().demand().times(step.tasks().size());
      Resources planned = plannedByTeam.getOrDefault(team, Resources.NONE).plus(demand);
      Optional<TeamShare> share = state.config().team(team);
      Resources used = state.usageTracker().usageOf(team);
      if (share.isEmpty() || share.get().allows(used.plus(planned))) {
        plannedByTeam.put(team, planned);
        waiting.add(gang(step, capacities, now.monotonicMillis()));
      }
    }
    return waiting;
  }

  private WaitingGang gang(StepRun step, Map<Worker, WorkerCapacity> capacities, long nowMillis) {
    StepSpec spec = step.spec();
    List<WorkerCapacity> workers = new ArrayList<>();
    for (Worker worker : usableWorkers(step)) {
      workers.add(capacities.computeIfAbsent(worker, key -> capacity(key, nowMillis)));
    }
    return new WaitingGang(
        step.name(),
        step.job().queue().priority(),
        step.tasks().size(),
        spec.reservation(),
        spec.maxTasksPerWorker(),
        spec.estimateMillis(),
        adviceMillis(step, nowMillis),
        workers);
  }

  /** Returns the workers that a gang may use when they have room: with label and ticket. */
  private List<Worker> usableWorkers(StepRun step) {
    Queue queue = state.queueOf(step.job());
    if (queue.advice().required()) {
      return step.tickets().keySet().stream()
          .map(state.workers()::get)
          .filter(worker -> isUsable(step, worker, queue.service()))
          .sorted(WorkerEvaluator.preferredFor(step))
          .toList();
    }
    List<Worker> workers = new ArrayList<>();
    int wantedSlots = CANDIDATE_FACTOR * step.tasks().size();
    int[] slots = {0};
    workerIndex.visitLargest(
        queue.service(),
        step.spec().requiredLabel(),
        worker -> {
          workers.add(worker);
          slots[0] += step.spec().slotsIn(worker.listing().capacity());
          return slots[0] < wantedSlots && workers.size() < MAX_CANDIDATES;
        });
    return workers;
  }

  private boolean isUsable(StepRun step, Worker worker, String service) {
    return worker != null
        && workerIndex.contains(worker, service)
        && WorkerEvaluator.hasRequiredLabel(step.spec(), worker)
        && step.tickets().get(worker.id()).incarnation() == worker.incarnation();
  }

  private WorkerCapacity capacity(Worker worker, long nowMillis) {
    List<WorkerCapacity.Release> releases = new ArrayList<>();
    for (Placement placement : worker.placements().values()) {
      StepRun step = placement.task().step();
      if (placement.stopRequested()) {
        releases.add(new WorkerCapacity.Release(nowMillis + STOP_MILLIS, placement.reservation()));
      } else if (!step.spec().longRunning()) {
        long atMillis = nowMillis + remainingTime.remainingMillis(progress(placement), nowMillis);
        releases.add(new WorkerCapacity.Release(atMillis, placement.reservation()));
      }
    }
    return new WorkerCapacity(worker.id(), worker.free(), releases);
  }

  private static RunProgress progress(Placement placement) {
    StepRun step = placement.task().step();
    return new RunProgress(
        step.job().queueName() + "." + step.index(),
        step.spec().estimateMillis(),
        placement.orderedAtMillis(),
        placement.progressPercent(),
        placement.progressAtMillis());
  }

  /** Returns the time until a gang can have valid tickets for all its tasks. */
  private long adviceMillis(StepRun step, long nowMillis) {
    AdvicePolicy policy = state.queueOf(step.job()).advice();
    if (!policy.required()) {
      return 0;
    }
    if (step.adviceInFlight()) {
      return Math.max(0, step.adviceExpectedAtMillis() - nowMillis);
    }
    int slots = 0;
    for (String workerId : step.tickets().keySet()) {
      Worker worker = state.workers().get(workerId);
      if (worker != null && step.ticketFor(worker, nowMillis) != null) {
        slots += step.spec().slotsIn(worker.listing().capacity());
      }
    }
    return slots >= step.tasks().size() ? 0 : policy.callMillis(step.tickets().size());
  }
}
