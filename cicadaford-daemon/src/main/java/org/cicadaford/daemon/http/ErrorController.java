package org.cicadaford.daemon.http;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Error;
import io.micronaut.http.exceptions.ContentLengthExceededException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.daemon.DaemonSettings;
import org.cicadaford.entry.EntryServices;
import org.cicadaford.entry.Refusal;
import org.cicadaford.entry.RefusalKind;

/** Answers requests that no route takes. */
@Controller
final class ErrorController {

  private static final Logger LOG = LogManager.getLogger(ErrorController.class);

  private final EntryServices services;
  private final DaemonSettings settings;

  ErrorController(EntryServices services, DaemonSettings settings) {
    this.services = services;
    this.settings = settings;
  }

  @Error(status = HttpStatus.NOT_FOUND, global = true)
  HttpResponse<byte[]> unknownRoute(HttpRequest<?> request) {
    return refuse(
        RefusalKind.UNKNOWN_ROUTE,
        "path " + request.getPath() + " does not exist; see the routes in docs/design.md");
  }

  @Error(status = HttpStatus.METHOD_NOT_ALLOWED, global = true)
  HttpResponse<byte[]> wrongMethod(HttpRequest<?> request) {
    return refuse(
        RefusalKind.WRONG_METHOD,
        "path " + request.getPath() + " does not take " + request.getMethodName());
  }

  @Error(status = HttpStatus.UNSUPPORTED_MEDIA_TYPE, global = true)
  HttpResponse<byte[]> wrongMediaType(HttpRequest<?> request) {
    return refuse(RefusalKind.WRONG_MEDIA_TYPE, "send the body as application/json");
  }

  @Error(status = HttpStatus.REQUEST_ENTITY_TOO_LARGE, global = true)
  HttpResponse<byte[]> tooLarge(HttpRequest<?> request) {
    return refuse(
        RefusalKind.BODY_TOO_LARGE,
        "the body is larger than " + settings.maxBodyBytes() + " bytes; send a smaller one");
  }

  @Error(status = HttpStatus.BAD_REQUEST, global = true)
  HttpResponse<byte[]> malformed(HttpRequest<?> request) {
    return refuse(
        RefusalKind.MALFORMED_REQUEST, "the request cannot be read; check its path and headers");
  }

  @Error(exception = Throwable.class, global = true)
  HttpResponse<byte[]> fault(HttpRequest<?> request, Throwable failure) {
    if (failure instanceof ContentLengthExceededException) {
      return tooLarge(request);
    }
    services.metrics().fault("route-exception");
    LOG.error("a request to {} failed", request.getPath(), failure);
    return Answers.problem(
        Refusal.unknown(
            RefusalKind.INTERNAL_FAULT,
            "the request met a fault of the scheduler, which is logged; report it",
            0),
        null);
  }

  private HttpResponse<byte[]> refuse(RefusalKind kind, String detail) {
    services.metrics().refusal(kind.wireName());
    return Answers.problem(Refusal.notRun(kind, detail), null);
  }
}
