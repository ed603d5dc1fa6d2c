package org.cicadaford.cli.internal.config;

/** Waits between two attempts. */
public interface Pause {

  /** Waits for the given time. */
  void sleep(long millis) throws InterruptedException;
}
