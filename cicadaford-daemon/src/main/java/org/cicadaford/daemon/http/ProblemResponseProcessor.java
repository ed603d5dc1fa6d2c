package org.cicadaford.daemon.http;

import io.micronaut.context.annotation.Primary;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.server.exceptions.response.ErrorContext;
import io.micronaut.http.server.exceptions.response.ErrorResponseProcessor;
import jakarta.inject.Singleton;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.daemon.DaemonSettings;
import org.cicadaford.entry.EntryServices;
import org.cicadaford.entry.Refusal;
import org.cicadaford.entry.RefusalKind;

/** Answers requests that no route takes, or that fail before or in their route. */
@Primary
@Singleton
final class ProblemResponseProcessor implements ErrorResponseProcessor<byte[]> {

  private static final Logger LOG = LogManager.getLogger(ProblemResponseProcessor.class);

  private final EntryServices services;
  private final DaemonSettings settings;

  ProblemResponseProcessor(EntryServices services, DaemonSettings settings) {
    this.services = services;
    this.settings = settings;
  }

  @Override
  public MutableHttpResponse<byte[]> processResponse(
      ErrorContext context, MutableHttpResponse<?> baseResponse) {
    Refusal refusal = refusalOf(context, baseResponse.code());
    services.metrics().refusal(refusal.kind().wireName());
    return Answers.problem(refusal, null);
  }

  private Refusal refusalOf(ErrorContext context, int status) {
    HttpRequest<?> request = context.getRequest();
    return switch (status) {
      case 404 ->
          Refusal.notRun(
              RefusalKind.UNKNOWN_ROUTE,
              "path " + request.getPath() + " does not exist; see the routes in docs/design.md");
      case 405 ->
          Refusal.notRun(
              RefusalKind.WRONG_METHOD,
              "path " + request.getPath() + " does not take " + request.getMethodName());
      case 413 ->
          Refusal.notRun(
              RefusalKind.BODY_TOO_LARGE,
              "the body is larger than "
                  + settings.maxBodyBytes()
                  + " bytes; send a smaller one or raise --max-body-bytes");
      case 415 -> Refusal.notRun(RefusalKind.WRONG_MEDIA_TYPE, "send the body as application/json");
      default ->
          status < 500
              ? Refusal.notRun(
                  RefusalKind.MALFORMED_REQUEST,
                  "the request cannot be read; check its path, headers and body")
              : fault(context, request);
    };
  }

  private Refusal fault(ErrorContext context, HttpRequest<?> request) {
    services.metrics().fault("route-exception");
    LOG.error("a request to {} failed", request.getPath(), context.getRootCause().orElse(null));
    return Refusal.unknown(
        RefusalKind.INTERNAL_FAULT,
        "the request met a fault of the scheduler, which is logged; report it to the operators",
        0);
  }
}
