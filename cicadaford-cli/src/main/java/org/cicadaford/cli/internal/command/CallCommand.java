package org.cicadaford.cli.internal.command;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import org.cicadaford.cli.ExitCode;
import org.cicadaford.cli.internal.config.CommandException;
import org.cicadaford.cli.internal.entry.EntryAnswer;
import org.cicadaford.cli.internal.entry.EntryRequest;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Calls a service. */
@Command(
    name = "call",
    description = {
      "Calls a service and prints its answer.",
      "Without --repeatable the call runs at most once for one request id."
    })
final class CallCommand extends EntryCommand {

  /** Additional time to wait for the answer after the deadline sent to the daemon. */
  private static final long ANSWER_MARGIN_MILLIS = 1_000;

  @Parameters(paramLabel = "SERVICE", description = "Name of the service.")
  private String service;

  @ArgGroup(exclusive = true)
  private Body body = new Body();

  @Option(
      names = "--content-type",
      defaultValue = JSON,
      description = "Media type of the body. Default: application/json.")
  private String contentType;

  @Option(names = "--repeatable", description = "Allows the call to run more than once.")
  private boolean repeatable;

  @Option(
      names = "--request-id",
      paramLabel = "UUID",
      description = "Request id, a UUID of version 7. Default: a new one.")
  private String requestId;

  /** Holds the options for the body of the call. */
  static final class Body {
    @Option(names = "--data", paramLabel = "TEXT", description = "Body as text.")
    private String text;

    @Option(names = "--data-file", paramLabel = "FILE", description = "File with the body.")
    private Path file;
  }

  CallCommand(Session session) {
    super(session);
  }

  @Override
  CommandResult execute() throws CommandException {
    String id = requestId == null ? newRequestId() : requestId;
    Map<String, String> headers = headers();
    headers.put("Cicadaford-Request-Id", id);
    headers.put("Cicadaford-Deadline-Millis", Long.toString(timeoutMillis()));
    headers.put("Cicadaford-Repeatable", Boolean.toString(repeatable));
    EntryRequest request =
        new EntryRequest(
            "POST",
            "/v1/services/" + StatusCommand.segment(service) + "/call",
            headers,
            contentType,
            content(),
            timeoutMillis() + ANSWER_MARGIN_MILLIS);
    EntryAnswer answer =
        session().openEntry().send(request, "run the same command with --request-id " + id);
    return CommandResult.ok(
        List.of(answer.text()),
        "requestId",
        id,
        "status",
        answer.statusCode(),
        "contentType",
        answer.contentType(),
        "bodyBase64",
        Base64.getEncoder().encodeToString(answer.body()),
        "body",
        answer.text());
  }

  private byte[] content() throws CommandException {
    if (body.file == null) {
      return (body.text == null ? "" : body.text).getBytes(StandardCharsets.UTF_8);
    }
    try {
      return Files.readAllBytes(body.file);
    } catch (IOException e) {
      throw new CommandException(
          ExitCode.USAGE, "file " + body.file + " cannot be read; correct --data-file", e);
    }
  }
}
