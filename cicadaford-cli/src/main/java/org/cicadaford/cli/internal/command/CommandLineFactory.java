package org.cicadaford.cli.internal.command;

import picocli.CommandLine;

/** Creates the command line with all subcommands. */
public final class CommandLineFactory {

  private CommandLineFactory() {}

  /** Returns the command line of the main command with all its subcommands. */
  public static CommandLine create(Object mainCommand, Session session) {
    CommandLine line = new CommandLine(mainCommand);
    line.addSubcommand(new PublishCommand(session));
    line.addSubcommand(
        group(
            new ConfigCommand(),
            new ConfigCheckCommand(session),
            new ConfigShowCommand(session),
            new ConfigRecordCommand(session),
            new ConfigReferenceCommand(session)));
    line.addSubcommand(
        group(new KeyCommand(), new KeyGrantCommand(session), new KeyWithdrawCommand(session)));
    line.addSubcommand(
        group(
            new ZoneCommand(),
            new ZoneChangeCommand.Out(session),
            new ZoneChangeCommand.In(session)));
    line.addSubcommand(new SubmitCommand(session));
    line.addSubcommand(new CancelCommand(session));
    line.addSubcommand(new StatusCommand(session));
    line.addSubcommand(new CallCommand(session));
    line.addSubcommand(group(new ReportCommand(), new ReportBurnCommand(session)));
    line.addSubcommand(new CompletionCommand(session));
    return line;
  }

  private static CommandLine group(Object parent, Object... children) {
    CommandLine line = new CommandLine(parent);
    for (Object child : children) {
      line.addSubcommand(child);
    }
    return line;
  }
}
