package org.cicadaford.standin;

import java.nio.charset.StandardCharsets;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Runs one of the stand-ins for the platform as a program of its own. */
@Command(
    name = "cicadaford-standin",
    description = "Takes the place of a part of the platform on loopback.",
    mixinStandardHelpOptions = true,
    subcommands = {LogCommand.class, WorkersCommand.class, EndpointsCommand.class})
public final class StandinMain {

  private StandinMain() {}

  /** Runs the subcommand that {@code arguments} name until the process is ended. */
  public static void main(String[] arguments) {
    int exitCode = new CommandLine(new StandinMain()).execute(arguments);
    if (exitCode != 0) {
      System.exit(exitCode);
    }
  }

  /** Prints the ports as one line of JSON, so that the caller learns those the system chose. */
  static void printPorts(Object ports) {
    System.out.println(new String(Answer.json(ports).body(), StandardCharsets.UTF_8));
    System.out.flush();
  }
}
