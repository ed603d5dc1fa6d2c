package org.cicadaford.cli.internal.command;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.cicadaford.cli.ExitCode;
import org.cicadaford.cli.internal.command.LogConnector.OpenLog;
import org.cicadaford.cli.internal.config.CommandException;
import org.cicadaford.cli.internal.config.ConfigDifference;
import org.cicadaford.cli.internal.config.ConfigStream;
import org.cicadaford.decision.ConfigState;
import org.cicadaford.description.DescriptionSet;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Publishes all description files below the given directories, or none of them. */
@Command(
    name = "publish",
    description = {
      "Publishes all description files below the given directories, or none of them.",
      "The files define the whole configuration: entries that they omit are removed."
    })
final class PublishCommand extends SessionCommand {

  @Mixin private DescriptionFileOptions files;

  @Option(
      names = "--dry-run",
      description = "Checks the files and prints the changes, and publishes nothing.")
  private boolean dryRun;

  @Option(
      names = "--remove-missing",
      description = "Allows the publish to remove entries that no file defines.")
  private boolean removeMissing;

  @Option(
      names = "--base-version",
      paramLabel = "VERSION",
      description = {
        "Publishes only if this version is in force. Default: the version that was compared."
      })
  private Long baseVersion;

  PublishCommand(Session session) {
    super(session);
  }

  @Override
  CommandResult execute() throws CommandException {
    DescriptionSet wanted = files.collect();
    try (OpenLog open = session().openLog()) {
      ConfigStream stream = configStream(open);
      ConfigState state = stream.readToEnd();
      checkBaseVersion(state);
      ConfigDifference difference = ConfigDifference.between(state, wanted);
      if (difference.isEmpty()) {
        return result(difference, false, state.publishVersion(), "Nothing to change");
      }
      if (dryRun) {
        return result(difference, false, state.publishVersion(), "Dry run; nothing was published");
      }
      checkRemovals(difference);
      return publish(stream, difference);
    }
  }

  private void checkBaseVersion(ConfigState state) throws CommandException {
    if (baseVersion != null && baseVersion != state.publishVersion()) {
      throw rebaseError(
          state.publishVersion(), "version " + baseVersion + " is no longer in force");
    }
  }

  private void checkRemovals(ConfigDifference difference) throws CommandException {
    if (!removeMissing && !difference.removals().isEmpty()) {
      throw new CommandException(
          ExitCode.REFUSED,
          "nothing was published: it would remove "
              + String.join(", ", difference.removals())
              + "; add the directories that define them, or allow it with --remove-missing");
    }
  }

  private CommandResult publish(ConfigStream stream, ConfigDifference difference)
      throws CommandException {
    String recordId = UUID.randomUUID().toString();
    try {
      long version =
          stream.append(difference.toRecord(recordId, difference.baseVersion()), this::warn);
      return result(difference, true, version, "Published");
    } catch (CommandException e) {
      if (e.exitCode() == ExitCode.REFUSED) {
        throw rebaseError(stream.readToEnd().publishVersion(), e.getMessage());
      }
      throw e;
    }
  }

  private static CommandException rebaseError(long version, String reason) {
    return new CommandException(
        ExitCode.REFUSED,
        "nothing was published: "
            + reason
            + "; rebase on version "
            + version
            + ": compare with publish --dry-run, then publish again");
  }

  private static CommandResult result(
      ConfigDifference difference, boolean published, long version, String headline) {
    List<String> text = new ArrayList<>(difference.lines());
    text.add(headline + "; version " + version + " is in force.");
    return CommandResult.ok(
        text,
        "published",
        published,
        "version",
        version,
        "baseVersion",
        difference.baseVersion(),
        "changes",
        difference.toJson());
  }
}
