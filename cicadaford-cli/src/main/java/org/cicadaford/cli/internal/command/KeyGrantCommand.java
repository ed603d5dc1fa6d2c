package org.cicadaford.cli.internal.command;

import java.util.List;
import java.util.UUID;
import org.cicadaford.cli.ExitCode;
import org.cicadaford.cli.internal.command.LogConnector.OpenLog;
import org.cicadaford.cli.internal.config.CommandException;
import org.cicadaford.cli.internal.config.ConfigStream;
import org.cicadaford.cli.internal.config.TeamKeys;
import org.cicadaford.model.ConfigRecord.KeyGranted;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Generates a key for a team, prints it once and records its SHA-256. */
@Command(
    name = "grant",
    description = {
      "Generates a key for a team and prints it once.",
      "Only the key's SHA-256 is recorded; a lost key is withdrawn and another one granted."
    })
final class KeyGrantCommand extends SessionCommand {

  @Option(names = "--team", required = true, paramLabel = "T", description = "Team of the key.")
  private String team;

  KeyGrantCommand(Session session) {
    super(session);
  }

  @Override
  CommandResult execute() throws CommandException {
    try (OpenLog open = session().openLog()) {
      ConfigStream stream = configStream(open);
      if (stream.readToEnd().team(team).isEmpty()) {
        throw new CommandException(
            ExitCode.REFUSED,
            "team " + team + " is not published; publish it or correct the name (config show)");
      }
      String key = TeamKeys.generate(session().environment().random());
      String hash = TeamKeys.hash(key);
      long offset = grant(stream, hash);
      return CommandResult.ok(
          List.of("key: " + key, "sha256: " + hash, "Granted to team " + team + "."),
          "team",
          team,
          "key",
          key,
          "keyHash",
          hash,
          "offset",
          offset);
    }
  }

  private long grant(ConfigStream stream, String hash) throws CommandException {
    try {
      return stream.append(new KeyGranted(UUID.randomUUID().toString(), hash, team), this::warn);
    } catch (CommandException e) {
      if (e.exitCode() != ExitCode.OUTCOME_UNKNOWN) {
        throw e;
      }
      throw new CommandException(
          ExitCode.OUTCOME_UNKNOWN,
          e.getMessage()
              + "; the key is not shown: withdraw it with key withdraw --even-if-unknown --hash "
              + hash
              + " and grant another one",
          e);
    }
  }
}
