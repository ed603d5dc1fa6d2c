package org.cicadaford.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes the settings page from the definitions of the settings. */
public final class SettingsPageRenderer {

  private SettingsPageRenderer() {}

  /** Writes the page to the file that the only argument names. */
  public static void main(String[] arguments) throws IOException {
    Files.writeString(Path.of(arguments[0]), render());
  }

  /** Returns the page as Markdown. */
  public static String render() {
    StringBuilder page = new StringBuilder();
    page.append("# Settings of the entry daemon\n\n")
        .append("This page is generated from `DaemonSettings` by `SettingsPageRenderer`.\n\n")
        .append("A flag goes before its environment variable, which goes before the default.\n\n")
        .append("| flag | environment variable | unit | range | default | meaning |\n")
        .append("| --- | --- | --- | --- | --- | --- |\n");
    DaemonSettings.DEFINITIONS.forEach(definition -> page.append(row(definition)));
    return page.append("| `--require-log-at-start` | `CICADAFORD_REQUIRE_LOG_AT_START` | flag |")
        .append(" true, false | false |")
        .append(" Exit if the log is not reached at the start, instead of waiting for it. |\n")
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
        + defaultOf(definition)
        + " | "
        + definition.description()
        + " |\n";
  }

  private static String defaultOf(SettingDefinition definition) {
    if (definition.required()) {
      return "none, must be given";
    }
    return definition.defaultValue().isEmpty() ? "generated" : definition.defaultValue();
  }
}
