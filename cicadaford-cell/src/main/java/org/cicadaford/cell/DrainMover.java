package org.cicadaford.cell;

import java.util.List;
import java.util.OptionalLong;

/**
 * Takes runs off workers that leave, before these end them.
 *
 * <p>What still runs on a worker when it leaves is lost, and its task can run elsewhere only once
 * the worker's lease is certainly over, up to ten seconds later. A task that lasts is moved at
 * once, as far as its step may have tasks away; one with checkpoints just before the end, as
 * nothing of its work is lost by then; any other one only if it cannot be done in time, since its
 * work is lost in any case.
 */
final class DrainMover {

  /**
   * Time before a worker's end at which runs are stopped, in milliseconds: the stop takes up to 400
   * ms, its order and the report of its end some more.
   */
  private static final long STOP_LEAD_MILLIS = 1_000;

  /** Factor on the time that a run seems to need, from which it cannot be done in time. */
  private static final double LATE_FACTOR = 1.25;

  /** Progress from which the time that a run needs is told from its progress, in percent. */
  private static final int KNOWN_PROGRESS_PERCENT = 5;

  private static final int FULL_PERCENT = 100;

  private final CellState state;

  DrainMover(CellState state) {
    this.state = state;
  }

  /** Orders the stops that are due. */
  void tick(ClockReading now) {
    for (Worker worker : state.workers().values()) {
      OptionalLong leavesAt = worker.leavesAtMillis();
      if (leavesAt.isPresent()) {
        long leftMillis = leavesAt.getAsLong() - now.monotonicMillis();
        for (Placement placement : List.copyOf(worker.placements().values())) {
          if (movable(placement) && wanted(placement, leftMillis, now.monotonicMillis())) {
            move(placement, now);
          }
        }
      }
    }
  }

  private static boolean movable(Placement placement) {
    return placement.stage() == Placement.Stage.RUNNING && !placement.stopWanted();
  }

  private static boolean wanted(Placement placement, long leftMillis, long nowMillis) {
    StepRun step = placement.task().step();
    if (step.spec().longRunning()) {
      return leftMillis <= STOP_LEAD_MILLIS || mayBeAway(step);
    }
    long neededMillis = neededMillis(placement, nowMillis);
    if (neededMillis <= leftMillis) {
      return false;
    }
    if (step.spec().checkpointing()) {
      return leftMillis <= STOP_LEAD_MILLIS;
    }
    return neededMillis > LATE_FACTOR * leftMillis;
  }

  /** Returns whether one more task of the step may be away, besides those that are. */
  private static boolean mayBeAway(StepRun step) {
    int allowed = step.spec().maxUnavailable();
    if (allowed <= 0) {
      return true;
    }
    long away =
        step.tasks().stream()
            .filter(task -> task.placement() == null || !task.placement().atWork())
            .count();
    return away < allowed;
  }

  /** Returns the time that a run still needs, as far as its progress or its estimate tells. */
  private static long neededMillis(Placement placement, long nowMillis) {
    long workedMillis = nowMillis - placement.orderedAtMillis();
    int percent = placement.progressPercent();
    if (percent < KNOWN_PROGRESS_PERCENT) {
      long estimateMillis = placement.task().step().spec().estimateMillis();
      return Math.max(0, estimateMillis - workedMillis);
    }
    long measuredMillis = placement.progressAtMillis() - placement.orderedAtMillis();
    long totalMillis = measuredMillis * FULL_PERCENT / percent;
    return Math.max(0, totalMillis - workedMillis);
  }

  private void move(Placement placement, ClockReading now) {
    StepRun step = placement.task().step();
    if (!step.spec().gang()) {
      state.stop(placement, StopReason.DRAINING, now.monotonicMillis());
      return;
    }
    // The members run only together, so all of them are stopped, each with a checkpoint.
    for (Task member : step.tasks()) {
      if (member.placement() != null && !member.placement().stopWanted()) {
        state.stop(member.placement(), StopReason.DRAINING, now.monotonicMillis());
      }
    }
  }
}
