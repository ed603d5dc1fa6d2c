package org.cicadaford.cli.internal.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.util.List;
import org.cicadaford.cli.ExitCode;
import org.cicadaford.cli.internal.config.CommandException;

/** Sends requests to the first reachable entry daemon and maps refusals to exit codes. */
public final class EntryClient {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int FIRST_ERROR_STATUS = 400;

  private final List<URI> daemons;
  private final EntryConnector connector;

  /** Creates a client of these daemons, in order of preference. */
  public EntryClient(List<URI> daemons, EntryConnector connector) {
    this.daemons = List.copyOf(daemons);
    this.connector = connector;
  }

  /**
   * Sends a request and returns the answer to it. A daemon that was certainly not reached is
   * skipped; a request that may have been sent is not sent again.
   *
   * @param checkHint how the caller can find out the outcome of the request
   * @throws CommandException if it was refused, no daemon was reached, or the answer was lost
   */
  public EntryAnswer send(EntryRequest request, String checkHint) throws CommandException {
    String failures = "";
    for (URI daemon : daemons) {
      try {
        return requireSuccess(connector.send(daemon, request), checkHint);
      } catch (EntryFailureException e) {
        if (e.maybeSent()) {
          throw lostAnswerError(request, e, checkHint);
        }
        failures = failures + e.getMessage() + "; ";
      }
    }
    throw new CommandException(
        ExitCode.UNREACHABLE,
        "no entry daemon was reached, and the request was not run: "
            + failures
            + "check --entry and that a daemon runs there");
  }

  private static CommandException lostAnswerError(
      EntryRequest request, EntryFailureException e, String checkHint) {
    if (request.method().equals("GET")) {
      return new CommandException(
          ExitCode.UNREACHABLE, e.getMessage() + "; run the command again", e);
    }
    return new CommandException(
        ExitCode.OUTCOME_UNKNOWN,
        e.getMessage() + "; it is not known whether the request was run: " + checkHint,
        e);
  }

  private static EntryAnswer requireSuccess(EntryAnswer answer, String checkHint)
      throws CommandException {
    if (answer.statusCode() < FIRST_ERROR_STATUS) {
      return answer;
    }
    JsonNode problem = parse(answer);
    String detail = problem.path("detail").asText(problem.path("title").asText(""));
    String ran = problem.path("ran").asText("");
    String retry =
        problem.path("retryAfterMillis").isNumber()
            ? "; retry after " + problem.path("retryAfterMillis").asLong() + "ms"
            : "";
    String message =
        "refused with status %d: %s%s%s"
            .formatted(
                answer.statusCode(),
                detail.isEmpty() ? answer.text() : detail,
                ran.isEmpty() ? "" : " (" + ran + ")",
                retry);
    if (ran.equals("unknown")) {
      throw new CommandException(ExitCode.OUTCOME_UNKNOWN, message + "; " + checkHint);
    }
    throw new CommandException(ExitCode.REFUSED, message);
  }

  /** Returns the body as JSON, or a missing node if it is not JSON. */
  public static JsonNode parse(EntryAnswer answer) {
    try {
      return MAPPER.readTree(answer.text());
    } catch (JsonProcessingException e) {
      return MAPPER.missingNode();
    }
  }
}
