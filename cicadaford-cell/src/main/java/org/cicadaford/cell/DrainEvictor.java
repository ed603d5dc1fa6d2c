package org.cicadaford.cell;

import java.util.List;
import java.util.OptionalLong;

/**
 * Evicts runs from draining workers before these shut down.
 *
 * <p>A run that is still on a worker when it shuts down is lost, and its task can run elsewhere
 * only after the lease of the worker has expired, up to ten seconds later. A long-running task is
 * evicted as soon as its step allows another unavailable task. A task with checkpoints is evicted
 * just before the shutdown, because no work is lost. Any other task is evicted only if it cannot
 * complete in time, since its work is lost in any case.
 */
final class DrainEvictor {

  /** Factor by which the remaining time must exceed the available time for an eviction. */
  private static final double EVICTION_FACTOR = 1.25;

  /** Minimum progress for an estimate of the remaining time from the progress, in percent. */
  private static final int MIN_PROGRESS_PERCENT = 5;

  private static final int FULL_PERCENT = 100;

  private final CellState state;

  DrainEvictor(CellState state) {
    this.state = state;
  }

  /** Sends the stop orders that are due. */
  void tick(ClockReading now) {
    for (Worker worker : state.workers().values()) {
      OptionalLong shutdownAt = worker.shutdownAtMillis();
      if (shutdownAt.isPresent()) {
        long availableMillis = shutdownAt.getAsLong() - now.monotonicMillis();
        for (Placement placement : List.copyOf(worker.placements().values())) {
          if (evictable(placement)
              && evictionDue(placement, availableMillis, now.monotonicMillis())) {
            evict(placement, now);
          }
        }
      }
    }
  }

  private static boolean evictable(Placement placement) {
    return placement.stage() == Placement.Stage.RUNNING && !placement.stopRequested();
  }

  private boolean evictionDue(Placement placement, long availableMillis, long nowMillis) {
    long stopLeadMillis = state.settings().bounds().evictionLeadMillis();
    StepRun step = placement.task().step();
    if (step.spec().longRunning()) {
      return availableMillis <= stopLeadMillis || unavailabilityAllowed(step);
    }
    long remainingMillis = remainingMillis(placement, nowMillis);
    if (remainingMillis <= availableMillis) {
      return false;
    }
    if (step.spec().checkpointing()) {
      return availableMillis <= stopLeadMillis;
    }
    return remainingMillis > EVICTION_FACTOR * availableMillis;
  }

  /** Returns whether one more task of the step may become unavailable. */
  private static boolean unavailabilityAllowed(StepRun step) {
    int allowed = step.spec().maxUnavailable();
    if (allowed <= 0) {
      return true;
    }
    long unavailable =
        step.tasks().stream()
            .filter(task -> task.placement() == null || !task.placement().fullyStarted())
            .count();
    return unavailable < allowed;
  }

  /** Returns the remaining time of a run, from its progress or from the estimate of its step. */
  private static long remainingMillis(Placement placement, long nowMillis) {
    long workedMillis = nowMillis - placement.orderedAtMillis();
    int percent = placement.progressPercent();
    if (percent < MIN_PROGRESS_PERCENT) {
      long estimateMillis = placement.task().step().spec().estimateMillis();
      return Math.max(0, estimateMillis - workedMillis);
    }
    long measuredMillis = placement.progressAtMillis() - placement.orderedAtMillis();
    long totalMillis = measuredMillis * FULL_PERCENT / percent;
    return Math.max(0, totalMillis - workedMillis);
  }

  private void evict(Placement placement, ClockReading now) {
    StepRun step = placement.task().step();
    if (!step.spec().gang()) {
      state.stop(placement, StopReason.DRAINING, now.monotonicMillis());
      return;
    }
    // The members run only together, so all of them are stopped with a checkpoint.
    for (Task member : step.tasks()) {
      if (member.placement() != null && !member.placement().stopRequested()) {
        state.stop(member.placement(), StopReason.DRAINING, now.monotonicMillis());
      }
    }
  }
}
