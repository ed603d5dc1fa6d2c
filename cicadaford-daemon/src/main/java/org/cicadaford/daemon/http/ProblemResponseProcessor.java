package org.cicadaford.daemon.http;

import io.micronaut.context.annotation.Primary;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.server.exceptions.response.ErrorContext;
import io.micronaut.http.server.exceptions.response.ErrorResponseProcessor;
import jakarta.inject.Singleton;
import org.cicadaford.daemon.DaemonSettings;
import org.cicadaford.entry.EntryServices;
import org.cicadaford.entry.Refusal;
import org.cicadaford.entry.RefusalKind;

/**
 * Creates the responses to requests that match no route or that the server rejects.
 *
 * <p>The server calls it only for its own error responses. Error handlers by status would also
 * replace responses that routes return with that status, such as for an unknown job.
 */
@Primary
@Singleton
final class ProblemResponseProcessor implements ErrorResponseProcessor<byte[]> {

  private final EntryServices services;
  private final DaemonSettings settings;

  ProblemResponseProcessor(EntryServices services, DaemonSettings settings) {
    this.services = services;
    this.settings = settings;
  }

  @Override
  public MutableHttpResponse<byte[]> processResponse(
      ErrorContext context, MutableHttpResponse<?> base) {
    return toProblem(base.status(), context.getRequest());
  }

  MutableHttpResponse<byte[]> toProblem(HttpStatus status, HttpRequest<?> request) {
    return switch (status) {
      case NOT_FOUND ->
          refuse(
              RefusalKind.UNKNOWN_ROUTE,
              "path " + request.getPath() + " does not exist; see the routes in docs/design.md");
      case METHOD_NOT_ALLOWED ->
          refuse(
              RefusalKind.WRONG_METHOD,
              "path " + request.getPath() + " does not support method " + request.getMethodName());
      case UNSUPPORTED_MEDIA_TYPE ->
          refuse(RefusalKind.WRONG_MEDIA_TYPE, "send the body as application/json");
      case REQUEST_ENTITY_TOO_LARGE ->
          refuse(
              RefusalKind.BODY_TOO_LARGE,
              "the body is larger than " + settings.maxBodyBytes() + " bytes; send a smaller one");
      default ->
          refuse(
              RefusalKind.MALFORMED_REQUEST,
              "the request is malformed; check its path and headers");
    };
  }

  private MutableHttpResponse<byte[]> refuse(RefusalKind kind, String detail) {
    services.metrics().countRefusal(kind.wireName());
    return JsonResponses.problem(Refusal.notRun(kind, detail), null);
  }
}
