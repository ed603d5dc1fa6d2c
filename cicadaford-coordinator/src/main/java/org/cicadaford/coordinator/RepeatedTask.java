package org.cicadaford.coordinator;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Repeats a task on the event loop until it is stopped, even after a run has failed.
 *
 * <p>A plain executor cancels a periodic task at its first exception, which would disable the part
 * of the process that relies on it.
 */
final class RepeatedTask {

  private static final Logger LOGGER = LogManager.getLogger(RepeatedTask.class);

  private final String name;
  private final ScheduledExecutorService loop;
  private final Runnable task;
  private final LongSupplier delayMillis;
  private ScheduledFuture<?> next;
  private boolean stopped;

  /**
   * Creates the task.
   *
   * @param name name for log lines
   * @param delayMillis returns the delay before the next run, in milliseconds
   */
  RepeatedTask(
      String name, ScheduledExecutorService loop, Runnable task, LongSupplier delayMillis) {
    this.name = name;
    this.loop = loop;
    this.task = task;
    this.delayMillis = delayMillis;
  }

  /** Schedules the next run after the delay. */
  void start() {
    next = loop.schedule(this::runRound, delayMillis.getAsLong(), TimeUnit.MILLISECONDS);
  }

  void stop() {
    stopped = true;
    if (next != null) {
      next.cancel(false);
    }
  }

  private void runRound() {
    if (stopped) {
      return;
    }
    try {
      task.run();
    } catch (RuntimeException e) {
      LOGGER.error("{} failed, running it again", name, e);
    }
    if (!stopped) {
      start();
    }
  }
}
