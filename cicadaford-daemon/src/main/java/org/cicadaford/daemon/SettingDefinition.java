package org.cicadaford.daemon;

import java.util.Locale;

/**
 * Describes one setting of the daemon.
 *
 * @param name flag without the leading dashes
 * @param unit unit of a number or format of a text
 * @param minimum smallest valid number
 * @param maximum largest valid number
 * @param defaultValue default value; empty if the setting is required or its value is generated
 * @param required whether the setting must be given
 * @param description text for the help and the settings page
 */
public record SettingDefinition(
    String name,
    String unit,
    long minimum,
    long maximum,
    String defaultValue,
    boolean required,
    String description) {

  static SettingDefinition text(String name, String unit, String defaultValue, String description) {
    return new SettingDefinition(name, unit, 0, 0, defaultValue, false, description);
  }

  static SettingDefinition requiredText(String name, String unit, String description) {
    return new SettingDefinition(name, unit, 0, 0, "", true, description);
  }

  static SettingDefinition number(
      String name, String unit, long minimum, long maximum, long defaultValue, String description) {
    return new SettingDefinition(
        name, unit, minimum, maximum, Long.toString(defaultValue), false, description);
  }

  /** Returns whether the setting is a number. */
  public boolean isNumber() {
    return maximum > minimum;
  }

  /** Returns the command-line flag, with its leading dashes. */
  public String flag() {
    return "--" + name;
  }

  /** Returns the environment variable that applies if the flag is absent. */
  public String environmentVariable() {
    return "CICADAFORD_" + name.toUpperCase(Locale.ROOT).replace('-', '_');
  }
}
