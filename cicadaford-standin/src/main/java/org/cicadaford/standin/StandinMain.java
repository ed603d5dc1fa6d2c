package org.cicadaford.standin;

import java.nio.charset.StandardCharsets;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Runs one of the stand-ins for the platform in its own process. */
@Command(
    name = "cicadaford-standin",
    description = "Simulates a part of the platform on loopback.",
    mixinStandardHelpOptions = true,
    subcommands = {LogCommand.class, WorkersCommand.class, EndpointsCommand.class})
public final class StandinMain {

  private StandinMain() {}

  /** Runs the given subcommand until the process ends. */
  public static void main(String[] arguments) {
    int exitCode = new CommandLine(new StandinMain()).execute(arguments);
    if (exitCode != 0) {
      System.exit(exitCode);
    }
  }

  /** Prints the ports as one line of JSON, so that the caller learns automatically chosen ports. */
  static void printPorts(Object ports) {
    System.out.println(new String(HttpAnswer.json(ports).body(), StandardCharsets.UTF_8));
    System.out.flush();
  }
}
