package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.cicadaford.cell.shares.ServiceShares;
import org.cicadaford.cell.shares.ShareChange;
import org.cicadaford.cell.shares.TeamDemand;
import org.cicadaford.model.Resources;

/**
 * Tracks what teams hold of each service, and which of them exceed their share while it is short.
 *
 * <p>Designed for one team whose large jobs, within its rate of jobs, fill a service of 5,800
 * workers that 310 teams share. Usage follows placements, so a successor has it once it has
 * restored them; the rest is computed again within {@link ServiceShares}. Usage counts for the
 * service of the queue as of the acceptance of a job, so that a changed queue leaves no remainder.
 */
final class ShortageMonitor {

  private static final String CATEGORY = "share";

  /** Interval at which the capacity of the services is summed up, in milliseconds. */
  private static final long CAPACITY_INTERVAL_MILLIS = 1_000;

  /**
   * Placements of a team on a service and what they reserve. Only their number tells whether there
   * are any, since tasks may reserve nothing.
   */
  private record TeamUsage(int placementCount, Resources reserved) {

    private static final TeamUsage NONE = new TeamUsage(0, Resources.NONE);

    TeamUsage plus(Resources reservation) {
      return new TeamUsage(placementCount + 1, reserved.plus(reservation));
    }

    TeamUsage minus(Resources reservation) {
      return new TeamUsage(placementCount - 1, reserved.minus(reservation));
    }
  }

  /** Work of one service that waits, by team. */
  private static final class Waiting {
    private final Map<String, Resources> byTeam = new HashMap<>();
    private boolean forRoom;
  }

  private final CellState state;
  private final Map<String, Map<String, TeamUsage>> usageByService = new HashMap<>();
  private final Map<String, ServiceShares> sharesByService = new TreeMap<>();
  private final Map<String, Resources> capacityByService = new HashMap<>();
  private final Set<String> reportedTeams = new HashSet<>();
  private long capacityAtMillis = Long.MIN_VALUE;
  private boolean anyShort;

  ShortageMonitor(CellState state) {
    this.state = state;
  }

  private static String service(StepRun step) {
    return step.job().queue().service();
  }

  /** Adds a placement to the usage of its team. */
  void placed(Placement placement) {
    StepRun step = placement.task().step();
    usageByService
        .computeIfAbsent(service(step), key -> new HashMap<>())
        .compute(
            step.job().team(),
            (team, usage) ->
                (usage == null ? TeamUsage.NONE : usage).plus(step.spec().reservation()));
  }

  /** Subtracts a placement from the usage of its team. */
  void released(Placement placement) {
    StepRun step = placement.task().step();
    Map<String, TeamUsage> usageByTeam = usageByService.get(service(step));
    TeamUsage left = usageByTeam.get(step.job().team()).minus(step.spec().reservation());
    if (left.placementCount() == 0) {
      usageByTeam.remove(step.job().team());
    } else {
      usageByTeam.put(step.job().team(), left);
    }
  }

  /** Returns the resources of a service that the tasks of a team reserve. */
  Resources usageOf(String service, String team) {
    return usageByService
        .getOrDefault(service, Map.of())
        .getOrDefault(team, TeamUsage.NONE)
        .reserved();
  }

  /** Returns whether any service is short. */
  boolean anyShort() {
    return anyShort;
  }

  /** Returns whether the service of a step is short. */
  boolean isShort(StepRun step) {
    return anyShort && isShort(service(step));
  }

  private boolean isShort(String service) {
    ServiceShares shares = sharesByService.get(service);
    return shares != null && shares.isShort();
  }

  /** Returns whether the service of a step is short and its team exceeds its share. */
  boolean exceedsShare(StepRun step) {
    return isShort(step) && sharesByService.get(service(step)).exceedsShare(step.job().team());
  }

  /** Updates the shortage of all services and reports its changes. */
  void tick(SchedulableWorkerIndex workerIndex, ClockReading now) {
    Map<String, Waiting> waitingByService = waitingByService();
    waitingByService.forEach(
        (service, waiting) -> {
          if (waiting.forRoom) {
            sharesByService.computeIfAbsent(service, key -> new ServiceShares());
          }
        });
    if (sharesByService.isEmpty()) {
      return;
    }
    updateCapacity(workerIndex, now.monotonicMillis());
    sharesByService.forEach(
        (service, shares) -> {
          Waiting waiting = waitingByService.getOrDefault(service, new Waiting());
          Resources capacity = capacityByService.getOrDefault(service, Resources.NONE);
          shares
              .update(
                  waiting.forRoom && workerIndex.majoritySchedulable(),
                  demands(service, waiting.byTeam),
                  capacity,
                  now.monotonicMillis())
              .forEach(change -> report(service, change));
        });
    sharesByService.values().removeIf(shares -> !shares.active());
    anyShort = sharesByService.values().stream().anyMatch(ServiceShares::isShort);
  }

  /** Returns the work within the limits of its teams that waits, by service. */
  private Map<String, Waiting> waitingByService() {
    Map<String, Waiting> waitingByService = new HashMap<>();
    for (StepRun step : state.waiting().all()) {
      WaitTimeTracker waits = step.waitTimes();
      boolean forRoom = waits.waitsFor(WaitCause.ROOM);
      if (forRoom || waits.waitsFor(WaitCause.ADVICE)) {
        Waiting waiting = waitingByService.computeIfAbsent(service(step), key -> new Waiting());
        waiting.forRoom |= forRoom;
        Resources demand = step.spec().reservation().times(step.waitingCount());
        waiting.byTeam.merge(step.job().team(), demand, Resources::plus);
      }
    }
    return waitingByService;
  }

  private void updateCapacity(SchedulableWorkerIndex workerIndex, long nowMillis) {
    if (!capacityByService.isEmpty() && nowMillis - capacityAtMillis < CAPACITY_INTERVAL_MILLIS) {
      return;
    }
    capacityAtMillis = nowMillis;
    capacityByService.clear();
    for (Worker worker : state.workers().values()) {
      ListedWorker listing = worker.listing();
      if (listing != null && workerIndex.contains(worker, listing.service())) {
        capacityByService.merge(listing.service(), listing.capacity(), Resources::plus);
      }
    }
  }

  private List<TeamDemand> demands(String service, Map<String, Resources> waitingByTeam) {
    Map<String, TeamUsage> usageByTeam = usageByService.getOrDefault(service, Map.of());
    Set<String> teams = new HashSet<>(usageByTeam.keySet());
    teams.addAll(waitingByTeam.keySet());
    teams.addAll(sharesByService.get(service).teamsBeyondShare());
    List<TeamDemand> demands = new ArrayList<>();
    for (String team : teams) {
      Resources waiting = waitingByTeam.getOrDefault(team, Resources.NONE);
      TeamShare share = state.config().team(team).orElse(null);
      double weight = share == null ? 0 : share.weight();
      Resources used = usageByTeam.getOrDefault(team, TeamUsage.NONE).reserved();
      demands.add(
          new TeamDemand(
              team, weight, used, share == null ? waiting : withinLimit(share, waiting)));
    }
    return demands;
  }

  /** Returns the part of waiting work that the limit of its team leaves room for. */
  private Resources withinLimit(TeamShare share, Resources waiting) {
    Resources used = state.usageTracker().usageOf(share.name());
    Resources limit = share.limit();
    return new Resources(
        withinLimit(
            waiting.processorsMillicores(),
            limit.processorsMillicores(),
            used.processorsMillicores()),
        withinLimit(waiting.memoryMebibytes(), limit.memoryMebibytes(), used.memoryMebibytes()),
        (int)
            withinLimit(
                waiting.acceleratorCount(), limit.acceleratorCount(), used.acceleratorCount()));
  }

  private static long withinLimit(long waiting, long limit, long used) {
    return limit <= 0 ? waiting : Math.min(waiting, Math.max(0, limit - used));
  }

  private void report(String service, ShareChange change) {
    switch (change) {
      case ShareChange.ShortageBegan(double utilization, int teams) ->
          report(service, "short", "utilization=" + rounded(utilization) + " teams=" + teams);
      case ShareChange.ShortageEnded(long durationMillis) ->
          report(service, "sufficient", "duration_ms=" + durationMillis);
      case ShareChange.Standing standing -> {
        reportedTeams.add(standing.team());
        report(
            standing.team(),
            standing.beyond() ? "beyond_share" : "within_share",
            "service="
                + service
                + " held="
                + rounded(standing.held())
                + " entitled="
                + rounded(standing.entitled())
                + " weight="
                + standing.weight());
      }
    }
  }

  private void report(String id, String outcome, String inputs) {
    state.actions().add(new Action.ReportDecision(CATEGORY, id, outcome, inputs));
  }

  private static String rounded(double fraction) {
    return String.format(Locale.ROOT, "%.3f", fraction);
  }

  /** Returns the number of services that are short. */
  long shortServiceCount() {
    return sharesByService.values().stream().filter(ServiceShares::isShort).count();
  }

  /** Returns 1 for each team that exceeds its share, and 0 for those that no longer do. */
  Map<String, Long> teamsBeyondShare() {
    Map<String, Long> teams = new HashMap<>();
    reportedTeams.forEach(team -> teams.put(team, 0L));
    sharesByService
        .values()
        .forEach(shares -> shares.teamsBeyondShare().forEach(team -> teams.put(team, 1L)));
    return teams;
  }
}
