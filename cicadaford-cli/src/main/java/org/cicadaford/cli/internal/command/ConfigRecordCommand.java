package org.cicadaford.cli.internal.command;

import java.util.List;
import java.util.Optional;
import org.cicadaford.cli.ExitCode;
import org.cicadaford.cli.internal.command.LogConnector.OpenLog;
import org.cicadaford.cli.internal.config.CommandException;
import org.cicadaford.cli.internal.config.RecordOutcome;
import org.cicadaford.decision.ApplyResult;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Reports the outcome of a change whose answer was lost. */
@Command(
    name = "record",
    description = {
      "Reports the outcome of a change whose answer was lost.",
      "Exit code 0: accepted; 1: refused; 4: the log does not contain the record."
    })
final class ConfigRecordCommand extends SessionCommand {

  @Parameters(paramLabel = "RECORD-ID", description = "Record id that the command printed.")
  private String recordId;

  ConfigRecordCommand(Session session) {
    super(session);
  }

  @Override
  CommandResult execute() throws CommandException {
    try (OpenLog open = session().openLog()) {
      Optional<RecordOutcome> outcome = configStream(open).find(recordId);
      if (outcome.isEmpty()) {
        throw new CommandException(
            ExitCode.OUTCOME_UNKNOWN,
            "the log does not contain record "
                + recordId
                + "; it may still arrive or have expired: compare config show"
                + " with what you asked for");
      }
      if (outcome.get().applyResult() instanceof ApplyResult.Rejected rejected) {
        throw new CommandException(
            ExitCode.REFUSED, "the change was refused and has no effect: " + rejected.reason());
      }
      return CommandResult.ok(
          List.of("The change took effect at offset " + outcome.get().offset() + "."),
          "accepted",
          true,
          "offset",
          outcome.get().offset());
    }
  }
}
