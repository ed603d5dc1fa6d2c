package org.cicadaford.daemon;

import java.io.PrintWriter;
import java.util.HashMap;
import java.util.Map;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.Model.UsageMessageSpec;
import picocli.CommandLine.ParseResult;

/** Parses the daemon's settings from command-line flags and environment variables. */
public final class DaemonCommand {

  /** Exit code after a graceful stop. */
  public static final int EXIT_OK = 0;

  /** Exit code of a daemon that failed to start. */
  public static final int EXIT_FAILED = 1;

  /** Exit code of a daemon with invalid settings. */
  public static final int EXIT_USAGE = 2;

  private DaemonCommand() {}

  /** Runs a daemon with the given settings. */
  @FunctionalInterface
  public interface Runner {

    /** Blocks until the daemon stops and returns its exit code. */
    int run(DaemonSettings settings) throws Exception;
  }

  /** Parses {@code arguments} and the environment and passes the settings to {@code runner}. */
  public static int execute(Runner runner, PrintWriter out, PrintWriter err, String... arguments) {
    CommandLine commandLine = new CommandLine(createCommandSpec());
    commandLine.setOut(out);
    commandLine.setErr(err);
    commandLine.setExecutionStrategy(parsed -> run(runner, commandLine, parsed));
    commandLine.setParameterExceptionHandler(
        (failure, args) -> {
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
      return runner.run(toSettings(parsed));
    } catch (InvalidSettingsException e) {
      commandLine.getErr().println(e.getMessage());
      return EXIT_USAGE;
    } catch (Exception e) {
      commandLine.getErr().println("the daemon failed: " + e.getMessage());
      return EXIT_FAILED;
    }
  }

  private static DaemonSettings toSettings(ParseResult parsed) throws InvalidSettingsException {
    Map<String, String> values = new HashMap<>();
    for (SettingDefinition definition : DaemonSettings.DEFINITIONS) {
      String value = parsed.matchedOptionValue(definition.flag(), null);
      if (value == null) {
        value = parsed.commandSpec().findOption(definition.flag()).getValue();
      }
      values.put(definition.name(), value == null ? "" : value);
    }
    OptionSpec requireLogOption =
        parsed.commandSpec().findOption("--" + DaemonSettings.REQUIRE_LOG_AT_START);
    return DaemonSettings.of(values, requireLogOption.<Boolean>getValue());
  }

  private static CommandSpec createCommandSpec() {
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
            .description("Exit if the log cannot be reached at startup, instead of waiting for it.")
            .build());
    return spec.addOption(
        OptionSpec.builder("--help", "-h").usageHelp(true).description("Show this help.").build());
  }
}
