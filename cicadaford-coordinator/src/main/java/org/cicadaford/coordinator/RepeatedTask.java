package org.cicadaford.coordinator;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Repeats a task on the event loop until it is stopped, also after a round that has failed.
 *
 * <p>An executor would end a repeated task for good at its first exception, and with it the part of
 * the process that relies on it.
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
   * @param name name for the log
   * @param delayMillis returns the time until the next round, in milliseconds
   */
  RepeatedTask(
      String name, ScheduledExecutorService loop, Runnable task, LongSupplier delayMillis) {
    this.name = name;
    this.loop = loop;
    this.task = task;
    this.delayMillis = delayMillis;
  }

  /** Runs the first round after the delay. */
  void start() {
    next = loop.schedule(this::round, delayMillis.getAsLong(), TimeUnit.MILLISECONDS);
  }

  void stop() {
    stopped = true;
    if (next != null) {
      next.cancel(false);
    }
  }

  private void round() {
    if (stopped) {
      return;
    }
    try {
      task.run();
    } catch (RuntimeException e) {
      LOGGER.error("{} has failed; it is repeated", name, e);
    }
    if (!stopped) {
      start();
    }
  }
}
