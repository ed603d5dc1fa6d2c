package org.cicadaford.entry.call;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Runs the tasks of the call service on one thread.
 *
 * <p>The queue holds a few tasks per call in progress, and the call service limits those calls.
 */
public final class SingleThreadCallEventLoop implements CallEventLoop {

  private static final Logger LOG = LogManager.getLogger(SingleThreadCallEventLoop.class);

  private final ScheduledThreadPoolExecutor executor;

  /** Creates the event loop; its thread starts with the first task. */
  public SingleThreadCallEventLoop() {
    executor =
        new ScheduledThreadPoolExecutor(
            1, Thread.ofPlatform().daemon().name("call-service").factory());
    executor.setRemoveOnCancelPolicy(true);
    // Drops answers of endpoints that arrive after the stop, like the queued tasks.
    executor.setRejectedExecutionHandler(new ThreadPoolExecutor.DiscardPolicy());
    executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  @Override
  public void execute(Runnable task) {
    executor.execute(() -> runAndLogFailure(task));
  }

  @Override
  public Runnable schedule(long delayMillis, Runnable task) {
    Future<?> scheduled =
        executor.schedule(() -> runAndLogFailure(task), delayMillis, TimeUnit.MILLISECONDS);
    return () -> scheduled.cancel(false);
  }

  private static void runAndLogFailure(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.error("a task of the call service failed; report this as a defect", e);
    }
  }

  @Override
  public long nowMillis() {
    return System.currentTimeMillis();
  }

  /** Stops the thread and drops the queued tasks. */
  public void stop() {
    executor.shutdownNow();
  }
}
