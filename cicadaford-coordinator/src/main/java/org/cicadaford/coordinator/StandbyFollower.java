package org.cicadaford.coordinator;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cicadaford.cell.CoordinatorWarmUp;
import org.cicadaford.wire.PeerMessage;

/**
 * Keeps a copy of the journal on standbys, so that a takeover loads only its newest records.
 *
 * <p>An instance with the resources of a coordinator also reads the journal once at its start,
 * because after a restart of all processes one of them becomes the coordinator.
 */
final class StandbyFollower {

  /**
   * Interval between refreshes of the journal copy, in milliseconds; each one costs store calls.
   */
  private static final long REFRESH_INTERVAL_MILLIS = 200;

  /** Number of journal refreshes per read of the worker list. */
  private static final int REFRESHES_PER_WORKER_LIST = 5;

  /**
   * Delay from the designation to the warm-up, in milliseconds. After a takeover the instances
   * forward the backlog and call for advice on behalf of the new coordinator, which an immediate
   * warm-up delayed by up to 0.2 s.
   */
  private static final long WARM_UP_DELAY_MILLIS = 3_000;

  /** Interval between rounds of the warm-up, in milliseconds; a round takes less than 10 ms. */
  private static final long WARM_UP_INTERVAL_MILLIS = 40;

  private final CellStore store;
  private final CellDirectory directory;
  private final ScheduledExecutorService loop;
  private final boolean hasCoordinatorResources;
  private final DependencyStatus journalCopy;
  private boolean designated;
  private boolean othersDesignated;
  private boolean warmUpScheduled;
  private boolean stopped;

  /** Whether a refresh is pending or scheduled. */
  private boolean refreshing;

  private int refreshCount;

  StandbyFollower(
      CellStore store,
      CellDirectory directory,
      ScheduledExecutorService loop,
      boolean hasCoordinatorResources,
      CellMetrics metrics) {
    this.journalCopy =
        new DependencyStatus("journal copy", "a takeover would load more records", metrics);
    this.store = store;
    this.directory = directory;
    this.loop = loop;
    this.hasCoordinatorResources = hasCoordinatorResources;
  }

  void start() {
    if (hasCoordinatorResources) {
      refresh();
    }
  }

  void stop() {
    stopped = true;
  }

  /** Handles the coordinator's answer to this instance's offer of help. */
  void handleOfferAnswer(PeerMessage.HelperAnswer answer) {
    if (answer.epoch() == 0) {
      return;
    }
    if (answer.standby() && !warmUpScheduled) {
      warmUpScheduled = true;
      scheduleWarmUp(new CoordinatorWarmUp(), WARM_UP_DELAY_MILLIS);
    }
    designated = answer.standby();
    othersDesignated = !designated;
    if (!designated && refreshCount > 0) {
      refreshCount = 0;
      store.discardLocalCopy();
    }
    if (designated && !refreshing) {
      refresh();
    }
  }

  /** Returns whether the last known coordinator designated this instance as a standby. */
  boolean isDesignated() {
    return designated;
  }

  /** Returns whether the last known coordinator designated other instances as its standbys. */
  boolean areOthersDesignated() {
    return othersDesignated;
  }

  /** Runs the warm-up one round at a time, so that requests are served in between. */
  private void scheduleWarmUp(CoordinatorWarmUp warmUp, long delayMillis) {
    loop.schedule(
        () -> {
          if (!stopped && warmUp.runRound()) {
            scheduleWarmUp(warmUp, WARM_UP_INTERVAL_MILLIS);
          }
        },
        delayMillis,
        TimeUnit.MILLISECONDS);
  }

  /** Stops following the journal when this instance becomes the coordinator. */
  void stopFollowing() {
    designated = false;
    othersDesignated = false;
    store.discardLocalCopy();
  }

  private void refresh() {
    refreshing = true;
    boolean listDue = refreshCount++ % REFRESHES_PER_WORKER_LIST == 0;
    CompletableFuture<?> list =
        listDue ? Futures.call(directory::listWorkers) : CompletableFuture.completedFuture(null);
    CompletableFuture<Void> copy =
        Futures.call(store::refreshLocalCopy)
            .whenComplete((done, failure) -> journalCopy.record(failure));
    // ObservedDirectory reports failures of the list.
    CompletableFuture.allOf(copy, list)
        .handle(
            (done, failure) ->
                loop.schedule(this::refreshAgain, REFRESH_INTERVAL_MILLIS, TimeUnit.MILLISECONDS));
  }

  private void refreshAgain() {
    refreshing = designated && !stopped;
    if (refreshing) {
      refresh();
    }
  }
}
