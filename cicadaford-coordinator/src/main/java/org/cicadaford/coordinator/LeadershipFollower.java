package org.cicadaford.coordinator;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Follows the announcements of the coordinator in the store. */
final class LeadershipFollower {

  /** Time for which the store may wait for another announcement, in milliseconds. */
  private static final long LEADERSHIP_WAIT_MILLIS = 5_000;

  /** Time between attempts to read after a failure, in milliseconds. */
  private static final long READ_RETRY_MILLIS = 200;

  private static final Logger LOGGER = LogManager.getLogger(LeadershipFollower.class);

  private final CellStore store;
  private final ScheduledExecutorService loop;
  private final Consumer<Leadership> announced;
  private boolean stopped;

  LeadershipFollower(
      CellStore store, ScheduledExecutorService loop, Consumer<Leadership> announced) {
    this.store = store;
    this.loop = loop;
    this.announced = announced;
  }

  /** Reads announcements, again and again. */
  void start() {
    store
        .awaitLeadershipChange(LEADERSHIP_WAIT_MILLIS)
        .handle(
            (leadership, failure) -> {
              read(leadership, failure);
              return null;
            })
        .exceptionally(
            failure -> {
              LOGGER.error("an announcement could not be applied; it is read again", failure);
              loop.schedule(this::start, READ_RETRY_MILLIS, TimeUnit.MILLISECONDS);
              return null;
            });
  }

  /** Stops after the open reading. */
  void stop() {
    stopped = true;
  }

  private void read(Leadership leadership, Throwable failure) {
    if (stopped) {
      return;
    }
    if (failure != null) {
      // The follower of the configuration logs that the store is lost.
      loop.schedule(this::start, READ_RETRY_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    announced.accept(leadership);
    start();
  }
}
