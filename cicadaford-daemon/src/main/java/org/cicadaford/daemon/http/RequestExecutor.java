package org.cicadaford.daemon.http;

import io.micronaut.http.HttpResponse;
import io.micronaut.http.MutableHttpResponse;
import jakarta.inject.Singleton;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.daemon.DaemonSettings;
import org.cicadaford.entry.EntryServices;
import org.cicadaford.entry.Refusal;
import org.cicadaford.entry.RefusalKind;
import org.cicadaford.entry.RefusedException;

/**
 * Executes requests within the limit on requests in progress, counts them and converts failures to
 * problem responses.
 */
@Singleton
final class RequestExecutor {

  private static final Logger LOG = LogManager.getLogger(RequestExecutor.class);
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final EntryServices services;
  private final DaemonSettings settings;

  /** Operation that handles a request. */
  @FunctionalInterface
  interface Operation {

    /** Starts the operation and returns a future of its response. */
    CompletableFuture<MutableHttpResponse<byte[]>> start(long nowMillis) throws RefusedException;
  }

  RequestExecutor(EntryServices services, DaemonSettings settings) {
    this.services = services;
    this.settings = settings;
  }

  /**
   * Executes {@code operation} and responds within the deadline.
   *
   * @param route route name in metrics
   * @param requestId id of the request, or null if the route has none
   * @param deadline value of the deadline header, or null
   */
  CompletableFuture<HttpResponse<byte[]>> run(
      String route, String requestId, String deadline, Operation operation) {
    return run(route, requestId, deadline, 0, operation);
  }

  /**
   * Executes {@code operation}, which enforces the deadline itself, and responds at the latest
   * {@code marginMillis} after the deadline.
   */
  CompletableFuture<HttpResponse<byte[]>> run(
      String route, String requestId, String deadline, long marginMillis, Operation operation) {
    long timeoutMillis;
    try {
      timeoutMillis =
          marginMillis + RequestHeaders.deadlineMillis(deadline, settings.defaultDeadlineMillis());
      services.requestLimiter().acquire();
    } catch (RefusedException e) {
      return CompletableFuture.completedFuture(refuse(route, requestId, e));
    }
    return start(operation)
        .orTimeout(timeoutMillis, TimeUnit.MILLISECONDS)
        .handle((response, failure) -> finish(route, requestId, response, failure))
        .whenComplete((response, failure) -> services.requestLimiter().release());
  }

  private static CompletableFuture<MutableHttpResponse<byte[]>> start(Operation operation) {
    try {
      return operation.start(System.currentTimeMillis()).copy();
    } catch (RefusedException | RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private HttpResponse<byte[]> finish(
      String route, String requestId, MutableHttpResponse<byte[]> response, Throwable failure) {
    if (failure != null) {
      return refuse(route, requestId, failure);
    }
    services.metrics().countRequest(route, "answered");
    if (requestId != null) {
      response.header(RequestHeaders.REQUEST_ID, requestId);
    }
    return response;
  }

  private HttpResponse<byte[]> refuse(String route, String requestId, Throwable failure) {
    Refusal refusal = toRefusal(failure);
    services.metrics().countRequest(route, "refused");
    services.metrics().countRefusal(refusal.kind().wireName());
    MutableHttpResponse<byte[]> response = JsonResponses.problem(refusal, requestId);
    if (requestId != null) {
      response.header(RequestHeaders.REQUEST_ID, requestId);
    }
    return response;
  }

  private Refusal toRefusal(Throwable failure) {
    Throwable cause = failure;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    if (cause instanceof RefusedException refused) {
      return refused.refusal();
    }
    if (cause instanceof TimeoutException) {
      return Refusal.unknownOutcome(
          RefusalKind.OUTCOME_UNKNOWN,
          "no response was available within the deadline; repeat the request with the same id",
          RETRY_AFTER_MILLIS);
    }
    services.metrics().countFault("request-exception");
    LOG.error("a request failed with an unexpected exception", cause);
    return Refusal.unknownOutcome(
        RefusalKind.INTERNAL_FAULT,
        "the request failed because of an internal error, which is logged; report it to the operators",
        RETRY_AFTER_MILLIS);
  }
}
