package org.cicadaford.cli.internal.command;

import java.util.List;
import org.cicadaford.cli.internal.config.CommandException;
import org.cicadaford.description.DescriptionSet;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Checks description files without publishing them. */
@Command(name = "check", description = "Checks description files without publishing them.")
final class ConfigCheckCommand extends SessionCommand {

  @Mixin private DescriptionFileOptions files;

  ConfigCheckCommand(Session session) {
    super(session);
  }

  @Override
  CommandResult execute() throws CommandException {
    DescriptionSet set = files.collect();
    return CommandResult.ok(
        List.of(
            "No errors in %d files: %d jobs, %d teams, %d queues."
                .formatted(
                    set.fileCount(), set.jobs().size(), set.teams().size(), set.queues().size())),
        "files",
        set.fileCount(),
        "jobs",
        set.jobs().size(),
        "teams",
        set.teams().size(),
        "queues",
        set.queues().size());
  }
}
