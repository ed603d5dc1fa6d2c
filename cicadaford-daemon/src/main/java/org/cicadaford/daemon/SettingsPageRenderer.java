package org.cicadaford.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Generates the settings page from the setting definitions. */
public final class SettingsPageRenderer {

  /** Settings of the cell daemon, which other modules define. */
  private static final String CELL_DAEMON_SECTION =
      """

      ## Bounds of the cell daemon

      The cell daemon reads these environment variables, which `deploy/system.toml` sets from the \
      platform's bounds. An absent or
      empty one has its default, which is that of the first deployments. One that is not a number \
      in its range is refused at the
      start, with a message that names it.

      | setting | unit | range | default | meaning |
      | --- | --- | --- | --- | --- |
      | `CICADAFORD_RUN_STOP_MILLIS` | ms | 0 to 3600000 | 400 | Maximum time in which a worker stops \
      a run. |
      | `CICADAFORD_RESTORE_MILLIS` | ms | 0 to 3600000 | 600 | Time for the restore from a \
      checkpoint. |
      | `CICADAFORD_CHECKPOINT_SECONDS` | s, may have a fraction | 0 to 3600 | 1 | Work between two \
      checkpoints of a run. |
      | `CICADAFORD_DRAIN_MILLIS` | ms | 0 to 3600000 | 2000 | Time for which a draining worker \
      serves, if it does not report the remaining time. |
      | `CICADAFORD_GANG_TIMEOUT_MILLIS` | ms | 0 to 3600000 | 3000 | Time for which a gang member \
      waits for the others. No effect yet. |
      | `CICADAFORD_NOTICE_MILLIS` | ms | 0 to 3600000 | 4500 | Notice before a worker is taken away. \
      No effect yet. |
      | `CICADAFORD_MAX_RECORD_BYTES` | bytes | 4096 to 2097152 | 262144 | Maximum size of a record in \
      the store. No effect yet: records are bounded by the default. |

      What follows from them, in milliseconds:

      | figure | from | first deployments | stop 900, restore 100, checkpoints 2 s |
      | --- | --- | --- | --- |
      | lead of a preemption before the latest start | stop + 100 | 500 | 1000 |
      | minimum run of a resumed task before it is preempted again | stop + restore + half a \
      checkpoint interval, at least 1500 | 1500 | 2000 |
      | lead of an eviction before the shutdown of a worker | stop + 600 | 1000 | 1500 |
      | time after a confirmed stop in which the run ends | stop + 600 | 1000 | 1500 |
      """;

  private SettingsPageRenderer() {}

  /** Writes the page to the file given as the only argument. */
  public static void main(String[] arguments) throws IOException {
    Files.writeString(Path.of(arguments[0]), render());
  }

  /** Returns the page as Markdown. */
  public static String render() {
    StringBuilder page = new StringBuilder();
    page.append("# Settings of the entry daemon\n\n")
        .append("This page is generated from `DaemonSettings` by `SettingsPageRenderer`.\n\n")
        .append("A flag overrides its environment variable, which overrides the default.\n\n")
        .append("| flag | environment variable | unit | range | default | meaning |\n")
        .append("| --- | --- | --- | --- | --- | --- |\n");
    DaemonSettings.DEFINITIONS.forEach(definition -> page.append(row(definition)));
    return page.append("| `--require-log-at-start` | `CICADAFORD_REQUIRE_LOG_AT_START` | flag |")
        .append(" true, false | false |")
        .append(" Exit if the log cannot be reached at startup, instead of waiting for it. |\n")
        .append(CELL_DAEMON_SECTION)
        .toString();
  }

  private static String row(SettingDefinition definition) {
    String range =
        definition.isNumber() ? definition.minimum() + " to " + definition.maximum() : "any";
    return "| `"
        + definition.flag()
        + "` | `"
        + definition.environmentVariable()
        + "` | "
        + definition.unit()
        + " | "
        + range
        + " | "
        + formatDefault(definition)
        + " | "
        + definition.description()
        + " |\n";
  }

  private static String formatDefault(SettingDefinition definition) {
    if (definition.required()) {
      return "none, required";
    }
    return definition.defaultValue().isEmpty() ? "generated" : definition.defaultValue();
  }
}
