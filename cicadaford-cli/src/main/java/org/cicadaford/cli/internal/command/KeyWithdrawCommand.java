package org.cicadaford.cli.internal.command;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.cicadaford.cli.ExitCode;
import org.cicadaford.cli.internal.command.LogConnector.OpenLog;
import org.cicadaford.cli.internal.config.CommandException;
import org.cicadaford.cli.internal.config.ConfigStream;
import org.cicadaford.cli.internal.config.TeamKeys;
import org.cicadaford.model.ConfigRecord.KeyWithdrawn;
import picocli.CommandLine.ArgGroup;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Withdraws a key permanently. */
@Command(
    name = "withdraw",
    description = {
      "Withdraws a key permanently; it stops working within seconds.",
      "Name the key by its SHA-256 (config show lists them), or give the key on standard input."
    })
final class KeyWithdrawCommand extends SessionCommand {

  @ArgGroup(exclusive = true, multiplicity = "1")
  private KeyOptions keyOptions;

  @Option(
      names = "--even-if-unknown",
      description = "Withdraws a key that is not granted, so that a late grant has no effect.")
  private boolean evenIfUnknown;

  /** Identifies the key; a key on the command line would be visible to other users. */
  static final class KeyOptions {
    @Option(names = "--hash", paramLabel = "SHA256", description = "SHA-256 of the key.")
    private String hash;

    @Option(names = "--key-from-stdin", description = "Reads the key from standard input.")
    private boolean fromStandardInput;
  }

  KeyWithdrawCommand(Session session) {
    super(session);
  }

  @Override
  CommandResult execute() throws CommandException {
    String hash = hash();
    try (OpenLog open = session().openLog()) {
      ConfigStream stream = configStream(open);
      Optional<String> team = stream.readToEnd().teamOfKeyHash(hash);
      if (team.isEmpty() && !evenIfUnknown) {
        throw new CommandException(
            ExitCode.REFUSED,
            "no team holds the key "
                + hash
                + "; check it against config show, or use --even-if-unknown");
      }
      long offset = stream.append(new KeyWithdrawn(UUID.randomUUID().toString(), hash), this::warn);
      return CommandResult.ok(
          List.of("Withdrawn: key " + hash + team.map(name -> " of team " + name).orElse("")),
          "keyHash",
          hash,
          "team",
          team.orElse(""),
          "offset",
          offset);
    }
  }

  private String hash() throws CommandException {
    if (keyOptions.fromStandardInput) {
      return TeamKeys.hash(readKey());
    }
    if (!keyOptions.hash.matches("[0-9a-f]{64}")) {
      throw new CommandException(
          ExitCode.USAGE, "--hash needs 64 lower-case hexadecimal digits; see config show");
    }
    return keyOptions.hash;
  }

  private String readKey() throws CommandException {
    try {
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(session().environment().input(), StandardCharsets.UTF_8));
      String line = reader.readLine();
      if (line != null && !line.isBlank()) {
        return line.strip();
      }
    } catch (IOException e) {
      throw new CommandException(ExitCode.USAGE, "standard input cannot be read; use --hash", e);
    }
    throw new CommandException(ExitCode.USAGE, "standard input is empty; write the key to it");
  }
}
