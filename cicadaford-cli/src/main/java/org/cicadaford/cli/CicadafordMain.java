package org.cicadaford.cli;

import java.security.SecureRandom;
import org.cicadaford.cli.internal.command.CommandLineFactory;
import org.cicadaford.cli.internal.command.Environment;
import org.cicadaford.cli.internal.command.LogConnector;
import org.cicadaford.cli.internal.command.LogConnector.OpenLog;
import org.cicadaford.cli.internal.command.Session;
import org.cicadaford.cli.internal.entry.HttpEntryConnector;
import org.cicadaford.platform.PlatformClients;
import org.cicadaford.platform.PlatformSettings;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.ScopeType;

/** Runs the command {@code cicadaford}. */
@Command(
    name = "cicadaford",
    mixinStandardHelpOptions = true,
    scope = ScopeType.INHERIT,
    version = "cicadaford 0.1.0",
    description = "Publishes the configuration of a Cicadaford cell and submits work to it.",
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {
      "0:The command succeeded.",
      "1:Refused; nothing changed.",
      "2:The command line is invalid; nothing was sent.",
      "3:The log or the entry daemon is unreachable; nothing changed.",
      "4:The answer was lost; the request may have taken effect. The message says how to check."
    })
public final class CicadafordMain {

  @Mixin private final Session session;

  private CicadafordMain(Session session) {
    this.session = session;
  }

  /** Returns the command line with all subcommands. */
  public static CommandLine commandLine(Environment environment) {
    Session session = new Session(environment);
    return CommandLineFactory.create(new CicadafordMain(session), session);
  }

  /** Runs the command and exits with its exit code. */
  public static void main(String[] arguments) {
    Environment environment =
        new Environment(
            logConnector(),
            new HttpEntryConnector(),
            new SecureRandom(),
            System::currentTimeMillis,
            Thread::sleep,
            System.in);
    System.exit(commandLine(environment).execute(arguments));
  }

  private static LogConnector logConnector() {
    return (host, port) -> {
      PlatformClients clients = new PlatformClients(PlatformSettings.forLog(host, port));
      clients.start();
      return new OpenLog(clients.logService(), clients.membershipService(), clients::stop);
    };
  }
}
