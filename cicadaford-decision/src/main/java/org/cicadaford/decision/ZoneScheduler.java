package org.cicadaford.decision;

import java.util.List;
import org.cicadaford.model.Urgency;
import org.cicadaford.model.ZoneChange;

/**
 * Places waiting tasks on workers and stops running ones to make room.
 *
 * <p>Each decision starts from the recorded state and ignores earlier proposals that are not
 * recorded. An owner may have only one batch in flight, and only one of two batches with the same
 * sequence number takes effect. Not thread-safe.
 */
public final class ZoneScheduler {

  private final String zone;
  private final SchedulerSettings settings;
  private final TeamLimits limits;
  private final WorkerIndex index;
  private final FairSharePlacer fairSharePlacer;
  private final PreemptionBudget preemptionBudget;
  private final GangPlanner gangPlanner;
  private final Preemptor preemptor;
  private final TeamLimitEnforcer teamLimitEnforcer;
  private final InfeasibleJobDetector infeasibleJobDetector;

  /** Creates the scheduler of a zone. */
  public ZoneScheduler(String zone, SchedulerSettings settings, TeamLimits limits) {
    this.zone = zone;
    this.settings = settings;
    this.limits = limits;
    this.index = new WorkerIndex(settings.policy(), settings.headroomFraction());
    this.fairSharePlacer = new FairSharePlacer(settings.fairShare());
    this.preemptionBudget = new PreemptionBudget(settings.maxStopsPerSecond());
    this.gangPlanner = new GangPlanner(settings.preemption());
    this.preemptor = new Preemptor(preemptionBudget);
    this.teamLimitEnforcer = new TeamLimitEnforcer();
    this.infeasibleJobDetector = new InfeasibleJobDetector(zone);
  }

  /** Creates a scheduler with the default settings. */
  ZoneScheduler(String zone, TeamLimits limits) {
    this(zone, SchedulerSettings.DEFAULT, limits);
  }

  /** Returns what to record: placements, stops and jobs that can never run. */
  public List<ZoneChange> decide(OwnerInputs inputs, TaskSizer sizer, long nowMillis) {
    index.sync(inputs, nowMillis);
    preemptionBudget.refresh(inputs.zone(), nowMillis);
    if (inputs.config().isZoneTakenOut(zone)) {
      return List.of();
    }
    PlacementRound round =
        new PlacementRound(inputs, index, sizer, limits, settings, preemptionBudget, nowMillis);
    infeasibleJobDetector.decide(round);
    gangPlanner.stopIncomplete(round);
    teamLimitEnforcer.decide(round);
    placeAll(round);
    gangPlanner.reserve(round);
    if (settings.preemption()) {
      preemptor.decide(round);
    }
    return round.finish();
  }

  private void placeAll(PlacementRound round) {
    fairSharePlacer.beginDecision(round);
    fairSharePlacer.place(round, Urgency.URGENT);
    if (settings.deadlineOrder()) {
      fairSharePlacer.placeNearDeadline(round);
    }
    fairSharePlacer.place(round, Urgency.NORMAL);
    fairSharePlacer.place(round, Urgency.DEFERRABLE);
  }
}
