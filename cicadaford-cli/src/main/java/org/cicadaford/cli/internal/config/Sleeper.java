package org.cicadaford.cli.internal.config;

/** Waits between attempts. */
public interface Sleeper {

  /** Sleeps for the given time. */
  void sleep(long millis) throws InterruptedException;
}
