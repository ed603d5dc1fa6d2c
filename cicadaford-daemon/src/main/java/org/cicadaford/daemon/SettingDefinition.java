package org.cicadaford.daemon;

import java.util.Locale;

/**
 * Describes one setting of the daemon.
 *
 * @param name flag without its dashes
 * @param unit unit of the value, or what kind of text it is
 * @param minimum least value of a number
 * @param maximum largest value of a number
 * @param defaultValue value if none is given; empty if the setting must be given or is worked out
 * @param required whether the daemon does not start without it
 * @param description what it does
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

  /** Returns whether the value is a number. */
  public boolean isNumber() {
    return maximum > minimum;
  }

  /** Returns the flag. */
  public String flag() {
    return "--" + name;
  }

  /** Returns the environment variable that is read if the flag is absent. */
  public String environmentVariable() {
    return "CICADAFORD_" + name.toUpperCase(Locale.ROOT).replace('-', '_');
  }
}
