package org.cicadaford.daemon;

import java.io.PrintWriter;
import java.util.HashMap;
import java.util.Map;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.Model.UsageMessageSpec;
import picocli.CommandLine.ParseResult;

/** Reads the daemon's settings from its flags and environment variables. */
public final class DaemonCommand {

  /** Exit code of a daemon that stopped as it was told to. */
  public static final int EXIT_OK = 0;

  /** Exit code of a daemon that could not start. */
  public static final int EXIT_FAILED = 1;

  /** Exit code of a daemon with invalid settings. */
  public static final int EXIT_USAGE = 2;

  private DaemonCommand() {}

  /** Runs a daemon with its settings. */
  @FunctionalInterface
  public interface Runner {

    /** Runs until the daemon stops and returns its exit code. */
    int run(DaemonSettings settings) throws Exception;
  }

  /** Reads the settings from {@code arguments} and the environment, and hands them to a runner. */
  public static int execute(Runner runner, PrintWriter out, PrintWriter err, String... arguments) {
    CommandLine commandLine = new CommandLine(specification());
    commandLine.setOut(out);
    commandLine.setErr(err);
    commandLine.setExecutionStrategy(parsed -> run(runner, commandLine, parsed));
    commandLine.setParameterExceptionHandler(
        (failure, given) -> {
          err.println(failure.getMessage() + "; see --help for all flags");
          return EXIT_USAGE;
        });
    return commandLine.execute(arguments);
  }

  private static int run(Runner runner, CommandLine commandLine, ParseResult parsed) {
    Integer helpExitCode = CommandLine.executeHelpRequest(parsed);
    if (helpExitCode != null) {
      return helpExitCode;
    }
    try {
      return runner.run(settingsOf(parsed));
    } catch (InvalidSettingsException e) {
      commandLine.getErr().println(e.getMessage());
      return EXIT_USAGE;
    } catch (Exception e) {
      commandLine.getErr().println("the daemon failed: " + e.getMessage());
      return EXIT_FAILED;
    }
  }

  private static DaemonSettings settingsOf(ParseResult parsed) throws InvalidSettingsException {
    Map<String, String> values = new HashMap<>();
    for (SettingDefinition definition : DaemonSettings.DEFINITIONS) {
      String value = parsed.matchedOptionValue(definition.flag(), null);
      if (value == null) {
        value = parsed.commandSpec().findOption(definition.flag()).getValue();
      }
      values.put(definition.name(), value == null ? "" : value);
    }
    OptionSpec requireLog =
        parsed.commandSpec().findOption("--" + DaemonSettings.REQUIRE_LOG_AT_START);
    return DaemonSettings.of(values, requireLog.<Boolean>getValue());
  }

  private static CommandSpec specification() {
    CommandSpec spec =
        CommandSpec.create()
            .name("cicadaford-entry")
            .usageMessage(
                new UsageMessageSpec().description("Runs an entry instance of Cicadaford."));
    for (SettingDefinition definition : DaemonSettings.DEFINITIONS) {
      spec.addOption(
          OptionSpec.builder(definition.flag())
              .type(String.class)
              .paramLabel("<" + definition.unit() + ">")
              .defaultValue(
                  "${env:"
                      + definition.environmentVariable()
                      + ":-"
                      + definition.defaultValue()
                      + "}")
              .description(definition.description())
              .build());
    }
    spec.addOption(
        OptionSpec.builder("--" + DaemonSettings.REQUIRE_LOG_AT_START)
            .type(boolean.class)
            .defaultValue("${env:CICADAFORD_REQUIRE_LOG_AT_START:-false}")
            .description("Exit if the log is not reached at the start, instead of waiting for it.")
            .build());
    return spec.addOption(
        OptionSpec.builder("--help", "-h").usageHelp(true).description("Show this help.").build());
  }
}
