package org.cicadaford.cell.gang;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cicadaford.model.Resources;

/**
 * Plans the starts of waiting gangs and reserves the capacity for them, for a bounded time.
 *
 * <p>Designed for some dozens of waiting gangs of 20 to 120 tasks in a cell at 0.9 of its capacity,
 * with run times that are off by half. A gang that fits at no time reserves nothing. A gang that
 * has not started by its expected start and a grace loses its reservations for a pause, in which
 * other work starts. Its next grace is twice as long and keeps off work of its own priority too:
 * while it lasts, nothing starts on the workers that ends after the expected start, so the gang
 * starts after a bounded number of losses. Among gangs of one priority, those that reserve already
 * are planned first, so that two gangs cannot displace each other in turn.
 */
public final class GangScheduler {

  /**
   * Minimum and maximum grace, in milliseconds; within them, the expected wait. A gang waits for
   * the last of many runs of some seconds, which differ from their estimates by half or more. With
   * a grace of half the wait and at least 1 s, large gangs lost most reservations before they
   * started.
   */
  private static final long MIN_GRACE_MILLIS = 5_000;

  private static final long MAX_GRACE_MILLIS = 10_000;

  /** Maximum number of doublings of the grace; a run may take 7 times its estimate. */
  private static final int MAX_DOUBLINGS = 3;

  /** Bounds of the pause after a loss, in milliseconds; within them, the time reserved. */
  private static final long MIN_PAUSE_MILLIS = 500;

  private static final long MAX_PAUSE_MILLIS = 2_000;

  /**
   * Time after which a gang that is not waiting is forgotten, in milliseconds. A gang may be at the
   * limit of its team for a moment.
   */
  private static final long FORGET_MILLIS = 10_000;

  /** Share of the workers that all gangs but the first may reserve together. */
  private static final double MAX_RESERVED_SHARE = 0.5;

  private static final class Hold {
    private boolean held;
    private boolean reserving;
    private long sinceMillis;
    private long expiresAtMillis;
    private long pausedUntilMillis;
    private int lostCount;
    private long seenAtMillis;
  }

  /**
   * The outcome of a planning pass.
   *
   * @param reservations reserved capacity, in the order of the gangs
   * @param plans plans by gang id, also of gangs that reserve nothing during a pause
   * @param events changes since the previous pass
   */
  public record Outcome(
      List<Reservation> reservations, Map<String, GangPlan> plans, List<HoldEvent> events) {}

  private final Map<String, Hold> holds = new HashMap<>();

  /**
   * Plans all waiting gangs.
   *
   * @param gangs waiting gangs in scheduling order, more urgent queues first
   * @param workerCount number of workers in the cell
   */
  public Outcome plan(List<WaitingGang> gangs, int workerCount, long nowMillis) {
    holds.values().removeIf(hold -> nowMillis - hold.seenAtMillis > FORGET_MILLIS);
    Outcome outcome = new Outcome(new ArrayList<>(), new HashMap<>(), new ArrayList<>());
    CapacityTimeline timeline = new CapacityTimeline();
    for (WaitingGang gang : inPlanningOrder(gangs)) {
      Hold hold = holds.computeIfAbsent(gang.id(), id -> new Hold());
      hold.seenAtMillis = nowMillis;
      Optional<GangPlan> plan = timeline.plan(gang, nowMillis);
      if (plan.isEmpty()) {
        // The time limit goes on, so that a worker that comes and goes does not renew it.
        if (hold.reserving) {
          hold.reserving = false;
          outcome.events().add(event(gang, hold, HoldEvent.Kind.NO_EXPECTED_START, 0, 0));
        }
        continue;
      }
      outcome.plans().put(gang.id(), plan.get());
      boolean room =
          outcome.reservations().isEmpty()
              || outcome.reservations().size() + plan.get().tasksByWorker().size()
                  <= workerCount * MAX_RESERVED_SHARE;
      if (room && holds(gang, hold, plan.get(), outcome, nowMillis)) {
        timeline.commit(gang, plan.get());
        reserve(gang, hold, plan.get(), outcome);
      }
    }
    return outcome;
  }

  private List<WaitingGang> inPlanningOrder(List<WaitingGang> gangs) {
    List<WaitingGang> ordered = new ArrayList<>(gangs);
    // The sort is stable, so gangs without a reservation stay in scheduling order.
    ordered.sort(
        Comparator.comparingInt(WaitingGang::priority)
            .thenComparingLong(
                gang -> {
                  Hold hold = holds.get(gang.id());
                  return hold != null && hold.held ? hold.sinceMillis : Long.MAX_VALUE;
                }));
    return ordered;
  }

  /** Returns whether a gang reserves capacity now, and updates since when. */
  private static boolean holds(
      WaitingGang gang, Hold hold, GangPlan plan, Outcome outcome, long nowMillis) {
    long waitMillis = plan.startMillis() - nowMillis;
    int workers = plan.tasksByWorker().size();
    if (hold.held && nowMillis > hold.expiresAtMillis) {
      hold.held = false;
      hold.reserving = false;
      hold.lostCount++;
      long heldMillis = nowMillis - hold.sinceMillis;
      hold.pausedUntilMillis =
          nowMillis + Math.max(MIN_PAUSE_MILLIS, Math.min(heldMillis, MAX_PAUSE_MILLIS));
      outcome.events().add(event(gang, hold, HoldEvent.Kind.EXPIRED, waitMillis, workers));
    }
    if (!hold.held && nowMillis >= hold.pausedUntilMillis) {
      hold.held = true;
      hold.sinceMillis = nowMillis;
      hold.expiresAtMillis =
          plan.startMillis() + gang.adviceMillis() + graceMillis(waitMillis, hold.lostCount);
    }
    if (hold.held && !hold.reserving) {
      hold.reserving = true;
      outcome.events().add(event(gang, hold, HoldEvent.Kind.RESERVED, waitMillis, workers));
    }
    return hold.held;
  }

  private static long graceMillis(long waitMillis, int lostCount) {
    long grace = Math.max(MIN_GRACE_MILLIS, Math.min(waitMillis, MAX_GRACE_MILLIS));
    return grace << Math.min(lostCount, MAX_DOUBLINGS);
  }

  private static HoldEvent event(
      WaitingGang gang, Hold hold, HoldEvent.Kind kind, long waitMillis, int workers) {
    return new HoldEvent(gang.id(), kind, waitMillis, hold.lostCount, workers);
  }

  private static void reserve(WaitingGang gang, Hold hold, GangPlan plan, Outcome outcome) {
    for (WorkerCapacity worker : gang.workers()) {
      Integer tasks = plan.tasksByWorker().get(worker.workerId());
      if (tasks != null) {
        Resources amount = gang.demand().times(tasks);
        outcome
            .reservations()
            .add(
                new Reservation(
                    gang.id(),
                    worker.workerId(),
                    gang.priority(),
                    hold.lostCount > 0,
                    plan.startMillis(),
                    amount,
                    CapacityTimeline.releasedBy(worker, plan.startMillis())));
      }
    }
  }
}
