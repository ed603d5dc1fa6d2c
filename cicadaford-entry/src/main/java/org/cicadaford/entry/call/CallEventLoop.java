package org.cicadaford.entry.call;

/** Runs the tasks of the call service one at a time, in order. */
public interface CallEventLoop {

  /** Queues a task. */
  void execute(Runnable task);

  /** Schedules a task after a delay and returns a function that cancels it. */
  Runnable schedule(long delayMillis, Runnable task);

  /** Returns the current time in milliseconds. */
  long nowMillis();
}
