package org.cicadaford.cli.internal.command;

import java.util.List;
import java.util.Map;
import org.cicadaford.cli.internal.config.CommandException;
import org.cicadaford.cli.internal.entry.EntryAnswer;
import org.cicadaford.cli.internal.entry.EntryRequest;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Cancels a job. */
@Command(name = "cancel", description = "Cancels a job. It can be repeated without harm.")
final class CancelCommand extends EntryCommand {

  @Parameters(paramLabel = "JOB-ID", description = "Id that submit printed.")
  private String jobId;

  CancelCommand(Session session) {
    super(session);
  }

  @Override
  CommandResult execute() throws CommandException {
    Map<String, String> headers = headers();
    headers.put("Cicadaford-Request-Id", newRequestId());
    EntryRequest request =
        new EntryRequest(
            "DELETE", StatusCommand.jobPath(jobId), headers, "", new byte[0], timeoutMillis());
    EntryAnswer answer =
        session().openEntry().send(request, "run the command again, or see status " + jobId);
    CommandResult result = resultOf(answer);
    return result.json().isEmpty()
        ? CommandResult.ok(List.of("Cancelled: " + jobId), "jobId", jobId)
        : result;
  }
}
