package org.cicadaford.decision;

import java.util.ArrayList;
import java.util.List;
import org.cicadaford.model.WorkerAnswer;
import org.cicadaford.model.ZoneChange;

/**
 * Plans all actions of a zone's owner during one ownership epoch.
 *
 * <p>Combines the admission of requests, the reconciliation of leases, the placement of tasks and
 * the planning of allotments. Not thread-safe.
 */
public final class ZoneOwnerPlanner {

  private final String zone;
  private final RequestAdmitter requestAdmitter;
  private final LeaseReconciler leaseReconciler;
  private final ZoneScheduler scheduler;
  private final AllotmentPlanner allotmentPlanner;
  private final TaskSizer taskSizer;
  private long epoch;
  private boolean handedOver;

  /** Creates a planner for the epoch that the state of {@code zone} shows in the first decision. */
  public ZoneOwnerPlanner(String zone, OwnerSettings settings, long epochStartMillis) {
    this(zone, settings, LifeCycleSettings.DEFAULT, ConfigState.NO_OFFSET, epochStartMillis);
  }

  /** Creates a planner for {@code epoch} of {@code zone}. */
  public ZoneOwnerPlanner(
      String zone,
      OwnerSettings settings,
      LifeCycleSettings lifeCycle,
      long epoch,
      long epochStartMillis) {
    this.zone = zone;
    this.epoch = epoch;
    this.requestAdmitter = new RequestAdmitter(zone);
    this.leaseReconciler = new LeaseReconciler(settings, lifeCycle, epochStartMillis);
    this.allotmentPlanner = new AllotmentPlanner(zone);
    this.scheduler = new ZoneScheduler(zone, allotmentPlanner);
    this.taskSizer = new MeasuredTaskSizer(leaseReconciler::usageEstimate);
  }

  /**
   * Processes a worker's answer. Only the answer to a renewal lists every placement that the worker
   * knows, so only there does a missing placement mean that it is not on the worker.
   *
   * @param command command that was answered
   * @param sentAtMillis time at which the command was sent
   */
  public void onAnswer(
      AddressedCommand command, WorkerAnswer answer, long sentAtMillis, long nowMillis) {
    leaseReconciler.onAnswer(
        command.workerId(), command.command(), answer, sentAtMillis, nowMillis);
  }

  /** Records that a worker did not answer a command. */
  public void onUnreachable(String workerId, long nowMillis) {
    leaseReconciler.onUnreachable(workerId);
  }

  /** Records the lease handover of the owner of an earlier epoch. */
  public void onHandOver(LeaseHandover handover) {
    leaseReconciler.onHandOver(handover);
  }

  /** Stops this planner permanently and returns the handover for the next owner. */
  public LeaseHandover handOver(OwnerInputs inputs, long nowMillis) {
    handedOver = true;
    return leaseReconciler.handOver(round(inputs, nowMillis));
  }

  /**
   * Returns what to record, send and append now. Nothing is decided after the handover or once the
   * state shows another epoch.
   */
  public OwnerDecision decide(OwnerInputs inputs, long nowMillis) {
    if (epoch == ConfigState.NO_OFFSET) {
      epoch = inputs.zone().epoch();
    }
    if (handedOver || inputs.zone().epoch() != epoch) {
      return new OwnerDecision(List.of(), inputs.zone().requestsOffset(), List.of(), List.of());
    }
    ReconcileRound round = round(inputs, nowMillis);
    List<ZoneChange> changes = new ArrayList<>(requestAdmitter.decide(inputs, nowMillis));
    changes.addAll(leaseReconciler.changes(round));
    changes.addAll(scheduler.decide(withReachableWorkers(inputs), taskSizer, nowMillis));
    return new OwnerDecision(
        changes,
        inputs.nextRequestsOffset(),
        leaseReconciler.commands(round),
        allotmentPlanner.decide(inputs, nowMillis));
  }

  /** Marks unreachable workers as leaving, so that nothing is placed on them. */
  private OwnerInputs withReachableWorkers(OwnerInputs inputs) {
    List<ListedWorker> listed =
        inputs.listedWorkers().stream()
            .map(
                worker ->
                    leaseReconciler.acceptsTasks(worker.workerId()) ? worker : worker.asLeaving())
            .toList();
    return inputs.withListedWorkers(listed);
  }

  private ReconcileRound round(OwnerInputs inputs, long nowMillis) {
    return new ReconcileRound(inputs, inputs.config().isZoneTakenOut(zone), epoch, nowMillis);
  }
}
