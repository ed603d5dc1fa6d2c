package org.cicadaford.daemon.http;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Error;
import io.micronaut.http.exceptions.ContentLengthExceededException;
import io.micronaut.http.exceptions.HttpStatusException;
import java.net.URISyntaxException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.entry.EntryServices;
import org.cicadaford.entry.Refusal;
import org.cicadaford.entry.RefusalKind;

/** Converts exceptions thrown by routes into problem responses. */
@Controller
final class ErrorController {

  private static final Logger LOG = LogManager.getLogger(ErrorController.class);

  private final EntryServices services;
  private final ProblemResponseProcessor problemProcessor;

  ErrorController(EntryServices services, ProblemResponseProcessor problemProcessor) {
    this.services = services;
    this.problemProcessor = problemProcessor;
  }

  @Error(exception = Throwable.class, global = true)
  HttpResponse<byte[]> handleException(HttpRequest<?> request, Throwable failure) {
    if (failure instanceof ContentLengthExceededException) {
      return problemProcessor.toProblem(HttpStatus.REQUEST_ENTITY_TOO_LARGE, request);
    }
    if (failure instanceof HttpStatusException refused) {
      return problemProcessor.toProblem(refused.getStatus(), request);
    }
    if (failure instanceof URISyntaxException) {
      return problemProcessor.toProblem(HttpStatus.BAD_REQUEST, request);
    }
    services.metrics().countFault("route-exception");
    LOG.error("a request to {} failed", request.getPath(), failure);
    return JsonResponses.problem(
        Refusal.unknownOutcome(
            RefusalKind.INTERNAL_FAULT,
            "the request failed because of an internal error, which is logged; report it",
            0),
        null);
  }
}
