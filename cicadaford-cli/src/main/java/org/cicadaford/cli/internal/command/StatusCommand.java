package org.cicadaford.cli.internal.command;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.cicadaford.cli.internal.config.CommandException;
import org.cicadaford.cli.internal.entry.EntryRequest;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Shows the state of a job, or of an entry daemon. */
@Command(name = "status", description = "Shows the state of a job, or of the entry daemon.")
final class StatusCommand extends EntryCommand {

  @Parameters(
      arity = "0..1",
      paramLabel = "JOB-ID",
      description = "Id that submit printed. Default: the daemon itself.")
  private String jobId;

  StatusCommand(Session session) {
    super(session);
  }

  static String jobPath(String jobId) {
    return "/v1/jobs/" + segment(jobId);
  }

  static String segment(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }

  @Override
  CommandResult execute() throws CommandException {
    String path = jobId == null ? "/v1/status" : jobPath(jobId);
    EntryRequest request =
        new EntryRequest("GET", path, headers(), "", new byte[0], timeoutMillis());
    return resultOf(session().openEntry().send(request, "run the command again"));
  }
}
