package org.cicadaford.cli.internal.command;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.cicadaford.cli.ExitCode;
import org.cicadaford.cli.internal.config.CommandException;
import org.cicadaford.cli.internal.entry.EntryAnswer;
import org.cicadaford.cli.internal.entry.EntryRequest;
import org.cicadaford.description.DescriptionCollector;
import org.cicadaford.description.DescriptionLimits;
import org.cicadaford.description.InvalidDescriptionsException;
import org.cicadaford.model.JobDescription;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Submits a job. */
@Command(
    name = "submit",
    description = {
      "Submits a published job, or with --dir one that is defined below a directory.",
      "The request id makes the command safe to repeat: one id starts at most one job."
    })
final class SubmitCommand extends EntryCommand {

  @Parameters(paramLabel = "NAME", description = "Name of the job.")
  private String name;

  @Option(
      names = "--dir",
      paramLabel = "DIR",
      description = "Submits the description found below this directory instead.")
  private Path directory;

  @Option(
      names = "--request-id",
      paramLabel = "UUID",
      description = "Request id, a UUID of version 7. Default: a new one.")
  private String requestId;

  SubmitCommand(Session session) {
    super(session);
  }

  @Override
  CommandResult execute() throws CommandException {
    Object body = directory == null ? Map.of("description", name) : description();
    String id = requestId == null ? newRequestId() : requestId;
    Map<String, String> headers = headers();
    headers.put("Cicadaford-Request-Id", id);
    EntryRequest request =
        new EntryRequest("POST", "/v1/jobs", headers, JSON, jsonBytes(body), timeoutMillis());
    EntryAnswer answer =
        session().openEntry().send(request, "run the same command with --request-id " + id);
    return resultOf(answer);
  }

  private JobDescription description() throws CommandException {
    try {
      DescriptionCollector collector = new DescriptionCollector(DescriptionLimits.DEFAULT);
      List<JobDescription> jobs = collector.collect(List.of(directory)).jobs();
      return jobs.stream()
          .filter(job -> job.name().equals(name))
          .findFirst()
          .orElseThrow(
              () ->
                  new CommandException(
                      ExitCode.REFUSED,
                      "no file below " + directory + " defines job " + name + "; correct it"));
    } catch (InvalidDescriptionsException e) {
      throw new CommandException(ExitCode.REFUSED, e.getMessage(), e);
    }
  }
}
