package org.cicadaford.coordinator;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.cell.CoordinatorWarmUp;
import org.cicadaford.wire.PeerMessage;

/**
 * Follows the journal on the instances that the coordinator has named standbys, so that they need
 * to load only its end when they take over.
 *
 * <p>An instance that is fit also reads the journal once when it starts: when all processes were
 * ended at once, one of them will be the coordinator in a moment.
 */
final class StandbyFollower {

  private static final Logger LOGGER = LogManager.getLogger(StandbyFollower.class);

  /** Time between two readings of the journal, in milliseconds; each is paid for. */
  private static final long FOLLOW_MILLIS = 200;

  /** Readings of the journal between two readings of the list of workers. */
  private static final int READINGS_PER_LIST = 5;

  /**
   * Time from the designation to the rehearsal, in milliseconds. After a takeover the instances
   * have the backlog to forward and the new coordinator's calls for advice to make, which a
   * rehearsal delayed by up to 0.2 s.
   */
  private static final long REHEARSAL_DELAY_MILLIS = 3_000;

  /** Time between two rounds of the rehearsal, in milliseconds; a round takes under 10 ms. */
  private static final long REHEARSAL_MILLIS = 40;

  private final CellStore store;
  private final CellDirectory directory;
  private final ScheduledExecutorService loop;
  private final boolean fit;
  private boolean designated;
  private boolean othersDesignated;
  private boolean rehearsed;
  private boolean stopped;

  /** Whether a reading is open, or another one is scheduled after it. */
  private boolean following;

  private int readings;

  StandbyFollower(
      CellStore store, CellDirectory directory, ScheduledExecutorService loop, boolean fit) {
    this.store = store;
    this.directory = directory;
    this.loop = loop;
    this.fit = fit;
  }

  void start() {
    if (fit) {
      follow();
    }
  }

  void stop() {
    stopped = true;
  }

  /** Takes the coordinator's answer to this instance's offer of help. */
  void designated(PeerMessage.HelperAnswer answer) {
    if (answer.epoch() == 0) {
      return;
    }
    if (answer.standby() && !rehearsed) {
      rehearsed = true;
      rehearseLater(new CoordinatorWarmUp(), REHEARSAL_DELAY_MILLIS);
    }
    designated = answer.standby();
    othersDesignated = !designated;
    if (!designated && readings > 0) {
      readings = 0;
      store.discardLocalCopy();
    }
    if (designated && !following) {
      follow();
    }
  }

  /** Returns whether this instance is a standby of the last coordinator that it has heard. */
  boolean isDesignated() {
    return designated;
  }

  /** Returns whether the last coordinator has named other instances its standbys. */
  boolean othersDesignated() {
    return othersDesignated;
  }

  /** Runs the rehearsal a round at a time, so that requests are served in between. */
  private void rehearseLater(CoordinatorWarmUp rehearsal, long delayMillis) {
    loop.schedule(
        () -> {
          if (!stopped && rehearsal.runRound()) {
            rehearseLater(rehearsal, REHEARSAL_MILLIS);
          }
        },
        delayMillis,
        TimeUnit.MILLISECONDS);
  }

  /** Ends following, as this instance has become the coordinator itself. */
  void release() {
    designated = false;
    othersDesignated = false;
    store.discardLocalCopy();
  }

  private void follow() {
    following = true;
    CompletableFuture<Void> list =
        readings++ % READINGS_PER_LIST == 0
            ? directory.listWorkers().thenAccept(workers -> {})
            : CompletableFuture.completedFuture(null);
    CompletableFuture.allOf(store.refreshLocalCopy(), list)
        .exceptionally(
            failure -> {
              // The follower of the configuration logs that the store is lost.
              LOGGER.debug("the journal cannot be followed", failure);
              return null;
            })
        .thenRun(
            () -> {
              loop.schedule(this::followAgain, FOLLOW_MILLIS, TimeUnit.MILLISECONDS);
            });
  }

  private void followAgain() {
    following = designated && !stopped;
    if (following) {
      follow();
    }
  }
}
