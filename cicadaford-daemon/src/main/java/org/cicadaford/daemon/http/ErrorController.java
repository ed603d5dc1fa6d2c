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

/** Answers requests whose route fails with an exception. */
@Controller
final class ErrorController {

  private static final Logger LOG = LogManager.getLogger(ErrorController.class);

  private final EntryServices services;
  private final ProblemProcessor problems;

  ErrorController(EntryServices services, ProblemProcessor problems) {
    this.services = services;
    this.problems = problems;
  }

  @Error(exception = Throwable.class, global = true)
  HttpResponse<byte[]> fault(HttpRequest<?> request, Throwable failure) {
    if (failure instanceof ContentLengthExceededException) {
      return problems.answer(HttpStatus.REQUEST_ENTITY_TOO_LARGE, request);
    }
    if (failure instanceof HttpStatusException refused) {
      return problems.answer(refused.getStatus(), request);
    }
    if (failure instanceof URISyntaxException) {
      return problems.answer(HttpStatus.BAD_REQUEST, request);
    }
    services.metrics().countFault("route-exception");
    LOG.error("a request to {} failed", request.getPath(), failure);
    return Answers.problem(
        Refusal.unknownOutcome(
            RefusalKind.INTERNAL_FAULT,
            "the request met a fault of the scheduler, which is logged; report it",
            0),
        null);
  }
}
