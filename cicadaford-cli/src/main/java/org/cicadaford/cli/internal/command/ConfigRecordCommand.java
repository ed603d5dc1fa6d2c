package org.cicadaford.cli.internal.command;

import java.util.List;
import java.util.Optional;
import org.cicadaford.cli.ExitCode;
import org.cicadaford.cli.internal.command.LogConnector.OpenLog;
import org.cicadaford.cli.internal.config.CommandException;
import org.cicadaford.cli.internal.config.RecordFate;
import org.cicadaford.decision.ApplyResult;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Tells what became of a change whose answer was lost. */
@Command(
    name = "record",
    description = {
      "Tells what became of a change whose answer was lost.",
      "Exit code 0: accepted; 1: refused; 4: the log does not hold the record."
    })
final class ConfigRecordCommand extends SessionCommand {

  @Parameters(paramLabel = "RECORD-ID", description = "Record id that the command named.")
  private String recordId;

  ConfigRecordCommand(Session session) {
    super(session);
  }

  @Override
  CommandResult execute() throws CommandException {
    try (OpenLog open = session().openLog()) {
      Optional<RecordFate> fate = configStream(open).find(recordId);
      if (fate.isEmpty()) {
        throw new CommandException(
            ExitCode.OUTCOME_UNKNOWN,
            "the log does not hold record "
                + recordId
                + "; it may still arrive, or be older than what the log keeps: compare config show"
                + " with what you asked for");
      }
      if (fate.get().verdict() instanceof ApplyResult.Rejected rejected) {
        throw new CommandException(
            ExitCode.REFUSED, "the change was refused and has no effect: " + rejected.reason());
      }
      return CommandResult.ok(
          List.of("The change took effect at offset " + fate.get().offset() + "."),
          "accepted",
          true,
          "offset",
          fate.get().offset());
    }
  }
}
