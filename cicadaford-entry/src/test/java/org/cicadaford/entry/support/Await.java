package org.cicadaford.entry.support;

import java.util.function.BooleanSupplier;

/** Waits for conditions without a timeout; the build ends a test that hangs. */
public final class Await {

  private Await() {}

  /** Waits until the condition holds. */
  public static void until(BooleanSupplier condition) throws InterruptedException {
    while (!condition.getAsBoolean()) {
      Thread.sleep(5);
    }
  }
}
