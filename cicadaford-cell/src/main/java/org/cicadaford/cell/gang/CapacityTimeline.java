package org.cicadaford.cell.gang;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.cicadaford.model.Resources;

/**
 * Expected free capacity of workers over time, from which gangs are planned one after the other.
 *
 * <p>Designed for some dozens of gangs of up to 120 tasks, each of which may use up to a few
 * hundred workers. The plan of a gang leaves out the capacity that the gangs planned before it use.
 */
final class CapacityTimeline {

  /**
   * Spare room as a ratio of the demand, and of the wait in which it becomes free. Run times differ
   * by half from their estimates, so some of the planned room becomes free too late.
   */
  private static final double SPARE_FACTOR = 0.5;

  /** Minimum time after the expected start in which spare room becomes free, in milliseconds. */
  private static final long MIN_SPARE_MILLIS = 1_000;

  /** Expected state of one worker. */
  private static final class Timeline {
    private Resources free;
    private final List<WorkerCapacity.Release> releases;

    private Timeline(WorkerCapacity worker) {
      free = worker.free();
      releases = new ArrayList<>(worker.releases());
      sort();
    }

    private void sort() {
      releases.sort(Comparator.comparingLong(WorkerCapacity.Release::atMillis));
    }
  }

  /** A point in time at which a worker has room for more tasks of the gang that is planned. */
  private static final class Cursor {
    private final String workerId;
    private final Timeline timeline;
    private final int rank;
    private Resources free;
    private int nextRelease;
    private long atMillis;
    private int slots;

    private Cursor(String workerId, Timeline timeline, int rank, long atMillis) {
      this.workerId = workerId;
      this.timeline = timeline;
      this.rank = rank;
      this.atMillis = atMillis;
      this.free = timeline.free;
    }

    /** Moves to the next release; returns false after the last one. */
    private boolean advance() {
      if (nextRelease >= timeline.releases.size()) {
        return false;
      }
      WorkerCapacity.Release release = timeline.releases.get(nextRelease++);
      atMillis = Math.max(atMillis, release.atMillis());
      free = free.plus(release.amount());
      return true;
    }
  }

  private final Map<String, Timeline> timelines = new HashMap<>();

  /** Returns the earliest plan of a gang with spare room, if all its tasks fit at any time. */
  Optional<GangPlan> plan(WaitingGang gang, long nowMillis) {
    PriorityQueue<Cursor> byTime =
        new PriorityQueue<>(
            Comparator.<Cursor>comparingLong(cursor -> cursor.atMillis)
                .thenComparingInt(cursor -> cursor.rank));
    for (WorkerCapacity worker : gang.workers()) {
      Timeline timeline = timelines.computeIfAbsent(worker.workerId(), id -> new Timeline(worker));
      byTime.add(new Cursor(worker.workerId(), timeline, byTime.size(), nowMillis));
    }
    Map<String, Integer> tasks = new LinkedHashMap<>();
    int missing = gang.memberCount();
    int spare = (int) Math.ceil(SPARE_FACTOR * gang.memberCount());
    long fitMillis = Long.MAX_VALUE;
    long latestSpareMillis = Long.MAX_VALUE;
    while (missing + spare > 0 && !byTime.isEmpty()) {
      Cursor cursor = byTime.poll();
      if (cursor.atMillis > latestSpareMillis) {
        break;
      }
      int more = Math.min(missing + spare, slotsIn(cursor.free, gang) - cursor.slots);
      if (more > 0) {
        tasks.merge(cursor.workerId, more, Integer::sum);
        cursor.slots += more;
        spare -= Math.max(0, more - missing);
        missing -= Math.min(missing, more);
      }
      if (missing == 0 && fitMillis == Long.MAX_VALUE) {
        fitMillis = cursor.atMillis;
        latestSpareMillis =
            fitMillis
                + Math.max(MIN_SPARE_MILLIS, Math.round(SPARE_FACTOR * (fitMillis - nowMillis)));
      }
      if (cursor.advance()) {
        byTime.add(cursor);
      }
    }
    if (missing > 0) {
      return Optional.empty();
    }
    return Optional.of(new GangPlan(Math.max(fitMillis, nowMillis + gang.adviceMillis()), tasks));
  }

  private static int slotsIn(Resources free, WaitingGang gang) {
    int most =
        gang.maxPerWorker() > 0
            ? Math.min(gang.maxPerWorker(), gang.memberCount())
            : gang.memberCount();
    int slots = 0;
    Resources left = free;
    while (slots < most && gang.demand().fitsIn(left)) {
      left = left.minus(gang.demand());
      slots++;
    }
    return slots;
  }

  /** Leaves the capacity of a plan out of later plans, until the gang is expected to end. */
  void commit(WaitingGang gang, GangPlan plan) {
    long endMillis = plan.startMillis() + gang.runMillis();
    plan.tasksByWorker()
        .forEach(
            (workerId, count) -> {
              Timeline timeline = timelines.get(workerId);
              Resources amount = gang.demand().times(count);
              timeline.free = timeline.free.minus(amount);
              timeline.releases.add(new WorkerCapacity.Release(endMillis, amount));
              timeline.sort();
            });
  }

  /** Returns the capacity that runs on a worker are expected to release until a time. */
  static Resources releasedBy(WorkerCapacity worker, long atMillis) {
    Resources released = Resources.NONE;
    for (WorkerCapacity.Release release : worker.releases()) {
      if (release.atMillis() <= atMillis) {
        released = released.plus(release.amount());
      }
    }
    return released;
  }
}
