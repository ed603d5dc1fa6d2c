package org.cicadaford.entry.call;

import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The thread of the call service.
 *
 * <p>Its queue holds a few steps for each call in progress, whose number the call service bounds.
 */
public final class CallThread implements CallLoop {

  private static final Logger LOG = LogManager.getLogger(CallThread.class);

  private final ScheduledThreadPoolExecutor executor;

  /** Creates the thread, which starts with its first step. */
  public CallThread() {
    executor =
        new ScheduledThreadPoolExecutor(
            1, Thread.ofPlatform().daemon().name("call-service").factory());
    executor.setRemoveOnCancelPolicy(true);
    // Answers of endpoints that come after the stop are dropped like the steps that wait.
    executor.setRejectedExecutionHandler(new ThreadPoolExecutor.DiscardPolicy());
    executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  @Override
  public void execute(Runnable step) {
    executor.execute(() -> runLogged(step));
  }

  @Override
  public Runnable schedule(long delayMillis, Runnable step) {
    Future<?> scheduled =
        executor.schedule(() -> runLogged(step), delayMillis, TimeUnit.MILLISECONDS);
    return () -> scheduled.cancel(false);
  }

  private static void runLogged(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException e) {
      LOG.error("a step of the call service failed; report this as a defect", e);
    }
  }

  @Override
  public long nowMillis() {
    return System.currentTimeMillis();
  }

  /** Ends the thread; steps that have not run are dropped. */
  public void stop() {
    executor.shutdownNow();
  }
}
