package org.cicadaford.entry;

import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** Extracts the refusals of requests that are expected to be refused. */
public final class RefusalProbe {

  private RefusalProbe() {}

  /** Returns the refusal of a request, whether thrown or set as the exceptional result. */
  public static Refusal of(Callable<? extends CompletableFuture<?>> request) {
    return ofThrown(
        () -> {
          try {
            request.call().join();
          } catch (CompletionException e) {
            throw (Exception) e.getCause();
          }
        });
  }

  /** An operation that may be refused. */
  @FunctionalInterface
  public interface Operation {

    /** Runs the operation. */
    void run() throws Exception;
  }

  /** Returns the refusal that an operation throws. */
  public static Refusal ofThrown(Operation operation) {
    try {
      operation.run();
    } catch (RefusedException e) {
      return e.refusal();
    } catch (Exception e) {
      throw new AssertionError("not a refusal", e);
    }
    throw new AssertionError("the request was not refused");
  }
}
