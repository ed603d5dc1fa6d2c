package org.cicadaford.coordinator;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Asks the platform which workers may run a step; futures complete on the event loop. */
public interface AdviceClient {

  /**
   * Tickets of the workers that may run a step.
   *
   * @param ticketByWorker tickets by id of the worker
   * @param validMillis time for which they are accepted, in milliseconds
   */
  record Advice(Map<String, String> ticketByWorker, long validMillis) {}

  /** Asks about a step; completes exceptionally when no advice came. */
  CompletableFuture<Advice> requestAdvice(String step, List<String> workerIds, long timeoutMillis);
}
