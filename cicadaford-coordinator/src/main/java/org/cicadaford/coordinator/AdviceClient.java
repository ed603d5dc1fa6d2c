package org.cicadaford.coordinator;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Requests placement advice from the platform. Futures complete on the event loop. */
public interface AdviceClient {

  /**
   * Holds the tickets of the workers that may run a step.
   *
   * @param ticketByWorker tickets by worker id
   * @param validMillis time for which workers accept the tickets, in milliseconds
   */
  record Advice(Map<String, String> ticketByWorker, long validMillis) {}

  /**
   * Requests advice on a step. The future completes exceptionally when no usable answer arrives.
   */
  CompletableFuture<Advice> requestAdvice(String step, List<String> workerIds, long timeoutMillis);
}
