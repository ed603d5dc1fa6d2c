package org.cicadaford.cli.internal.command;

import java.util.List;
import picocli.AutoComplete;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Prints a script that completes commands in the shell. */
@Command(
    name = "completion",
    description = {
      "Prints a script that completes commands in Bash and Zsh.",
      "Use it with: source <(cicadaford completion)"
    })
final class CompletionCommand extends SessionCommand {

  @Spec private CommandSpec commandSpec;

  CompletionCommand(Session session) {
    super(session);
  }

  @Override
  CommandResult execute() {
    String script = AutoComplete.bash("cicadaford", commandSpec.root().commandLine());
    return CommandResult.ok(List.of(script), "script", script);
  }
}
