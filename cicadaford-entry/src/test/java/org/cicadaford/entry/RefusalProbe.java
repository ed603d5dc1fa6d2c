package org.cicadaford.entry;

import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** Returns the refusals of requests that are to be refused. */
public final class RefusalProbe {

  private RefusalProbe() {}

  /** Returns the refusal of a request, whether it is thrown or completes it. */
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

  /** Something that may be refused. */
  @FunctionalInterface
  public interface Attempt {

    /** Makes the attempt. */
    void make() throws Exception;
  }

  /** Returns the refusal that is thrown. */
  public static Refusal ofThrown(Attempt attempt) {
    try {
      attempt.make();
    } catch (RefusedException e) {
      return e.refusal();
    } catch (Exception e) {
      throw new AssertionError("not a refusal", e);
    }
    throw new AssertionError("the request was not refused");
  }
}
