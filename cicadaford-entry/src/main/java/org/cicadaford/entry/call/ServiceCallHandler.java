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
import org.cicadaford.entry.config.ConfigHolder;
import org.cicadaford.entry.config.ConfigView;
import org.cicadaford.entry.job.TeamKeyVerifier;
import org.cicadaford.entry.metrics.EntryMetrics;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobKind;

/** Checks calls against the configuration and hands them to the {@link CallService}. */
public final class ServiceCallHandler {

  private final ConfigHolder config;
  private final CallService calls;
  private final EntryMetrics metrics;

  /**
   * A call as it came in.
   *
   * @param requestId checked id of the request
   * @param key team key that came with it, or null
   * @param service name of the service
   * @param contentType media type of the body
   * @param body bytes of the call
   * @param deadlineAtMillis time at which the caller no longer awaits the answer
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

  /** Creates the service. */
  public ServiceCallHandler(ConfigHolder config, CallService calls, EntryMetrics metrics) {
    this.config = config;
    this.calls = calls;
    this.metrics = metrics;
  }

  /**
   * Calls a service and returns the endpoint's whole answer. Completes exceptionally with {@link
   * RefusedException}.
   *
   * @throws RefusedException if the call is refused at once
   */
  public CompletableFuture<Answered> call(IncomingCall incoming, long nowMillis)
      throws RefusedException {
    ConfigView view = config.view();
    JobDescription service = describe(view, incoming.service());
    TeamKeyVerifier.check(view, service.queue(), service.team(), incoming.key(), nowMillis);
    CallRequest request =
        new CallRequest(
            incoming.requestId(),
            RequestIdParser.createdAtMillis(incoming.requestId()).orElseThrow(),
            service.team(),
            service.name(),
            incoming.contentType(),
            incoming.body(),
            incoming.deadlineAtMillis(),
            incoming.repeatable());
    String callClass = service.urgency().name().toLowerCase(Locale.ROOT);
    return calls
        .call(request)
        .thenApply(
            result -> {
              metrics.observeCallDuration(
                  service.team(), callClass, System.currentTimeMillis() - nowMillis);
              return answerOf(result);
            });
  }

  private static JobDescription describe(ConfigView view, String name) throws RefusedException {
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

  private static Answered answerOf(CallResult result) {
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
