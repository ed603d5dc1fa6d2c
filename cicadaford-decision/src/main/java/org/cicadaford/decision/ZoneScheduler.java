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
  private final FairPlacer fairPlacer;
  private final StopBudget stopBudget;
  private final GangPlanner gangPlanner;
  private final Preemptor preemptor;
  private final LimitDrainer limitDrainer;
  private final ImpossibleJobFinder impossibleJobFinder;

  /** Creates the scheduler of a zone. */
  public ZoneScheduler(String zone, SchedulerSettings settings, TeamLimits limits) {
    this.zone = zone;
    this.settings = settings;
    this.limits = limits;
    this.index = new WorkerIndex(settings.policy(), settings.headroomFraction());
    this.fairPlacer = new FairPlacer(settings.fairShare());
    this.stopBudget = new StopBudget(settings.maxStopsPerSecond());
    this.gangPlanner = new GangPlanner(settings.preemption());
    this.preemptor = new Preemptor(stopBudget);
    this.limitDrainer = new LimitDrainer();
    this.impossibleJobFinder = new ImpossibleJobFinder(zone);
  }

  /** Creates a scheduler with the default settings. */
  ZoneScheduler(String zone, TeamLimits limits) {
    this(zone, SchedulerSettings.DEFAULT, limits);
  }

  /** Returns what to record: placements, stops and jobs that can never run. */
  public List<ZoneChange> decide(OwnerInputs inputs, TaskSizer sizes, long nowMillis) {
    index.sync(inputs, nowMillis);
    stopBudget.refresh(inputs.zone(), nowMillis);
    if (inputs.config().isZoneTakenOut(zone)) {
      return List.of();
    }
    PlacementRound round =
        new PlacementRound(inputs, index, sizes, limits, settings, stopBudget, nowMillis);
    impossibleJobFinder.decide(round);
    gangPlanner.stopIncomplete(round);
    limitDrainer.decide(round);
    placeAll(round);
    gangPlanner.reserve(round);
    if (settings.preemption()) {
      preemptor.decide(round);
    }
    return round.finish();
  }

  private void placeAll(PlacementRound round) {
    fairPlacer.begin(round);
    fairPlacer.place(round, Urgency.URGENT);
    if (settings.deadlineOrder()) {
      fairPlacer.placeNearDeadline(round);
    }
    fairPlacer.place(round, Urgency.NORMAL);
    fairPlacer.place(round, Urgency.DEFERRABLE);
  }
}
