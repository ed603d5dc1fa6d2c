package org.cicadaford.entry.call;

/** Runs the steps of the call service one at a time, in order. */
public interface CallLoop {

  /** Runs a step soon. */
  void execute(Runnable step);

  /** Runs a step after a while, and returns what cancels it. */
  Runnable schedule(long delayMillis, Runnable step);

  /** Returns the present time in milliseconds. */
  long nowMillis();
}
