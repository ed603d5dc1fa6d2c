package org.cicadaford.coordinator;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/** Helps to call methods that return futures. */
final class Futures {

  private Futures() {}

  /** Makes a call; one that throws fails the future, so that the caller has one path of failure. */
  static <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> call) {
    try {
      return call.get();
    } catch (RuntimeException | StackOverflowError e) {
      return CompletableFuture.failedFuture(e);
    }
  }
}
