package org.cicadaford.entry.support;

import java.util.function.BooleanSupplier;

/** Waits for conditions without a bound on time; a test that hangs is ended by the build. */
public final class Await {

  private Await() {}

  /** Waits until the condition holds. */
  public static void until(BooleanSupplier condition) throws InterruptedException {
    while (!condition.getAsBoolean()) {
      Thread.sleep(5);
    }
  }
}
