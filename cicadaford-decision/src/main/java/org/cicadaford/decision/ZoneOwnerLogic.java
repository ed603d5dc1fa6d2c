package org.cicadaford.decision;

import java.util.ArrayList;
import java.util.List;
import org.cicadaford.model.WorkerAnswer;
import org.cicadaford.model.ZoneChange;

/**
 * Decides everything that the owner of a zone does during one ownership epoch.
 *
 * <p>Joins the parts that admit requests, keep leases, place tasks and plan allotments. Not safe
 * for use by several threads.
 */
public final class ZoneOwnerLogic {

  private final RequestAdmitter requestAdmitter;
  private final LeaseKeeper leaseKeeper;
  private final ZoneScheduler scheduler;
  private final AllotmentPlanner allotmentPlanner;

  /** Creates the logic for the epoch in which {@code zone} is owned. */
  public ZoneOwnerLogic(String zone, OwnerSettings settings, long epochStartMillis) {
    this.requestAdmitter = new RequestAdmitter(zone);
    this.leaseKeeper = new LeaseKeeper(zone, settings, epochStartMillis);
    this.allotmentPlanner = new AllotmentPlanner(zone);
    this.scheduler = new ZoneScheduler(zone, allotmentPlanner);
  }

  /**
   * Takes in a worker's answer.
   *
   * @param sentAtMillis time at which the command was sent
   */
  public void onAnswer(WorkerAnswer answer, long sentAtMillis, long nowMillis) {
    leaseKeeper.onAnswer(answer, sentAtMillis, nowMillis);
  }

  /** Takes in that a worker did not answer a command. */
  public void onUnreachable(String workerId, long nowMillis) {
    leaseKeeper.onUnreachable(workerId, nowMillis);
  }

  /** Returns what to record, to send and to append now. */
  public OwnerDecision decide(OwnerInputs inputs, long nowMillis) {
    List<ZoneChange> changes = new ArrayList<>(requestAdmitter.decide(inputs, nowMillis));
    changes.addAll(leaseKeeper.changes(inputs, nowMillis));
    changes.addAll(scheduler.decide(inputs, leaseKeeper, nowMillis));
    return new OwnerDecision(
        changes,
        inputs.nextRequestsOffset(),
        leaseKeeper.orders(inputs, nowMillis),
        allotmentPlanner.decide(inputs, nowMillis));
  }
}
