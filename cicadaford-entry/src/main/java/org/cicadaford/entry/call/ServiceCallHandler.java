package org.cicadaford.entry.call;

import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.cicadaford.decision.RequestIdParser;
import org.cicadaford.decision.call.CallResult;
import org.cicadaford.decision.call.CallResult.Answered;
import org.cicadaford.decision.call.CallResult.Refused;
import org.cicadaford.entry.Refusal;
import org.cicadaford.entry.RefusalKind;
import org.cicadaford.entry.RefusedException;
import org.cicadaford.entry.config.ConfigStore;
import org.cicadaford.entry.config.ConfigView;
import org.cicadaford.entry.job.TeamKeyVerifier;
import org.cicadaford.entry.metrics.EntryMetrics;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobKind;

/** Authorizes calls against the configuration and passes them to the {@link CallService}. */
public final class ServiceCallHandler {

  private final ConfigStore config;
  private final CallService calls;
  private final EntryMetrics metrics;

  /**
   * Holds a call as received.
   *
   * @param requestId validated request id
   * @param key team key of the request, or null
   * @param service name of the service
   * @param contentType media type of the body
   * @param body body of the call
   * @param deadlineAtMillis time after which the caller no longer waits for the answer
   * @param repeatable whether the call may be run more than once
   */
  public record IncomingCall(
      String requestId,
      String key,
      String service,
      String contentType,
      byte[] body,
      long deadlineAtMillis,
      boolean repeatable) {}

  /** Creates the handler. */
  public ServiceCallHandler(ConfigStore config, CallService calls, EntryMetrics metrics) {
    this.config = config;
    this.calls = calls;
    this.metrics = metrics;
  }

  /**
   * Calls a service and returns the endpoint's answer. Completes exceptionally with {@link
   * RefusedException} if the call is refused later.
   *
   * @throws RefusedException if the call is refused immediately
   */
  public CompletableFuture<Answered> call(IncomingCall call, long nowMillis)
      throws RefusedException {
    ConfigView view = config.view();
    JobDescription service = findService(view, call.service());
    TeamKeyVerifier.check(view, service.queue(), service.team(), call.key(), nowMillis);
    CallRequest request =
        new CallRequest(
            call.requestId(),
            RequestIdParser.createdAtMillis(call.requestId()).orElseThrow(),
            service.team(),
            service.name(),
            call.contentType(),
            call.body(),
            call.deadlineAtMillis(),
            call.repeatable());
    String callClass = service.urgency().name().toLowerCase(Locale.ROOT);
    return calls
        .call(request)
        .thenApply(
            result -> {
              metrics.observeCallDuration(
                  service.team(), callClass, System.currentTimeMillis() - nowMillis);
              return answerOrThrow(result);
            });
  }

  private static JobDescription findService(ConfigView view, String name) throws RefusedException {
    return view.state()
        .description(name)
        .filter(description -> description.kind() == JobKind.SERVICE)
        .orElseThrow(
            () ->
                new RefusedException(
                    Refusal.notRun(
                        RefusalKind.UNKNOWN_SERVICE,
                        "no service named "
                            + name
                            + " is published; publish it or correct the name")));
  }

  private static Answered answerOrThrow(CallResult result) {
    return switch (result) {
      case Answered answered -> answered;
      case Refused refused ->
          throw new CompletionException(new RefusedException(toRefusal(refused)));
    };
  }

  private static Refusal toRefusal(Refused refused) {
    RefusalKind kind =
        switch (refused.kind()) {
          case OVERLOADED -> RefusalKind.OVERLOADED;
          case NO_ENDPOINT -> RefusalKind.NO_ENDPOINT;
          case DEADLINE_PASSED -> RefusalKind.DEADLINE_PASSED;
          case LOG_UNAVAILABLE -> RefusalKind.LOG_UNAVAILABLE;
          case ID_OUTSIDE_WINDOW -> RefusalKind.REQUEST_ID_EXPIRED;
          case ID_USED_BEFORE -> RefusalKind.REQUEST_ID_REUSED;
          case ENDPOINT_FAILED -> RefusalKind.ENDPOINT_FAILED;
          case STOPPING -> RefusalKind.STOPPING;
        };
    return new Refusal(kind, refused.detail(), refused.ran(), refused.retryAfterMillis());
  }
}
