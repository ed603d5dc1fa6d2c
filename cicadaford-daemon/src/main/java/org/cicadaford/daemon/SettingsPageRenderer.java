package org.cicadaford.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Generates the settings page from the setting definitions. */
public final class SettingsPageRenderer {

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
