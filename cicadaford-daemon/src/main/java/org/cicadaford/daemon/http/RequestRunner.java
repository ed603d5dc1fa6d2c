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

/** Runs requests behind the gate, counts them, and turns refusals into answers. */
@Singleton
final class RequestRunner {

  private static final Logger LOG = LogManager.getLogger(RequestRunner.class);
  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final EntryServices services;
  private final DaemonSettings settings;

  /** Work of a request. */
  @FunctionalInterface
  interface Work {

    /** Starts the work and returns its answer. */
    CompletableFuture<MutableHttpResponse<byte[]>> start(long nowMillis) throws RefusedException;
  }

  RequestRunner(EntryServices services, DaemonSettings settings) {
    this.services = services;
    this.settings = settings;
  }

  /**
   * Runs {@code work} and answers within the deadline.
   *
   * @param route name of the route in metrics
   * @param requestId id of the request, or null if the route has none
   * @param deadline header with the time in which the caller wants its answer, or null
   */
  CompletableFuture<HttpResponse<byte[]>> run(
      String route, String requestId, String deadline, Work work) {
    return run(route, requestId, deadline, 0, work);
  }

  /**
   * Runs {@code work}, which keeps the deadline itself, and answers at the latest {@code
   * marginMillis} behind it.
   */
  CompletableFuture<HttpResponse<byte[]>> run(
      String route, String requestId, String deadline, long marginMillis, Work work) {
    long timeoutMillis;
    try {
      timeoutMillis =
          marginMillis + Headers.deadlineMillis(deadline, settings.defaultDeadlineMillis());
      services.requestLimiter().acquire();
    } catch (RefusedException e) {
      return CompletableFuture.completedFuture(refuse(route, requestId, e));
    }
    return start(work)
        .orTimeout(timeoutMillis, TimeUnit.MILLISECONDS)
        .handle((answer, failure) -> finish(route, requestId, answer, failure))
        .whenComplete((answer, failure) -> services.requestLimiter().release());
  }

  private static CompletableFuture<MutableHttpResponse<byte[]>> start(Work work) {
    try {
      return work.start(System.currentTimeMillis()).copy();
    } catch (RefusedException | RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private HttpResponse<byte[]> finish(
      String route, String requestId, MutableHttpResponse<byte[]> answer, Throwable failure) {
    if (failure != null) {
      return refuse(route, requestId, failure);
    }
    services.metrics().countRequest(route, "answered");
    if (requestId != null) {
      answer.header(Headers.REQUEST_ID, requestId);
    }
    return answer;
  }

  private HttpResponse<byte[]> refuse(String route, String requestId, Throwable failure) {
    Refusal refusal = refusalOf(failure);
    services.metrics().countRequest(route, "refused");
    services.metrics().countRefusal(refusal.kind().wireName());
    MutableHttpResponse<byte[]> answer = Answers.problem(refusal, requestId);
    if (requestId != null) {
      answer.header(Headers.REQUEST_ID, requestId);
    }
    return answer;
  }

  private Refusal refusalOf(Throwable failure) {
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
          "the answer did not come within the deadline; repeat the request with the same id",
          RETRY_AFTER_MILLIS);
    }
    services.metrics().countFault("request-exception");
    LOG.error("a request failed", cause);
    return Refusal.unknownOutcome(
        RefusalKind.INTERNAL_FAULT,
        "the request met a fault of the scheduler, which is logged; report it to the operators",
        RETRY_AFTER_MILLIS);
  }
}
