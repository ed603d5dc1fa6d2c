package org.cicadaford.coordinator;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Follows the coordinator announcements in the store. */
final class LeadershipFollower {

  /** Time that a read waits for another announcement, in milliseconds. */
  private static final long LONG_POLL_MILLIS = 5_000;

  /** Delay before the next read after a failure, in milliseconds. */
  private static final long RETRY_DELAY_MILLIS = 200;

  private static final Logger LOGGER = LogManager.getLogger(LeadershipFollower.class);

  private final CellStore store;
  private final ScheduledExecutorService loop;
  private final Consumer<Leadership> onAnnouncement;
  private boolean stopped;

  LeadershipFollower(
      CellStore store, ScheduledExecutorService loop, Consumer<Leadership> onAnnouncement) {
    this.store = store;
    this.loop = loop;
    this.onAnnouncement = onAnnouncement;
  }

  /** Starts reading announcements repeatedly. */
  void start() {
    store
        .awaitLeadershipChange(LONG_POLL_MILLIS)
        .handle(
            (leadership, failure) -> {
              handleResult(leadership, failure);
              return null;
            })
        .exceptionally(
            failure -> {
              LOGGER.error("failed to apply a coordinator announcement, reading it again", failure);
              loop.schedule(this::start, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
              return null;
            });
  }

  /** Stops after the pending read. */
  void stop() {
    stopped = true;
  }

  private void handleResult(Leadership leadership, Throwable failure) {
    if (stopped) {
      return;
    }
    if (failure != null) {
      // ConfigFollower logs that the store is unreachable.
      loop.schedule(this::start, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    onAnnouncement.accept(leadership);
    start();
  }
}
