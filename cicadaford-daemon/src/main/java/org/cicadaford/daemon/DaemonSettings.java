package org.cicadaford.daemon;

import java.util.List;
import java.util.Map;
import org.cicadaford.entry.EntrySettings;
import org.cicadaford.entry.RequestIdIssuer;

/**
 * Holds the daemon's settings; {@link #DEFINITIONS} states the unit, range and default of each.
 *
 * @param bindAddress IP address that the daemon binds to and announces
 * @param port TCP port of the HTTP interface; 0 selects a free port
 * @param peerPort TCP port for peers; 0 selects a free port
 * @param logHost IP address of the log
 * @param logPort TCP port of the log
 * @param requireLogAtStart whether the daemon exits if the log cannot be reached at startup
 * @param maxBodyBytes maximum size of a request body
 * @param defaultDeadlineMillis deadline of a request that states none
 * @param entry settings of the entry services
 */
public record DaemonSettings(
    String bindAddress,
    int port,
    int peerPort,
    String logHost,
    int logPort,
    boolean requireLogAtStart,
    int maxBodyBytes,
    long defaultDeadlineMillis,
    EntrySettings entry) {

  /** Name of the only flag without a value. */
  public static final String REQUIRE_LOG_AT_START = "require-log-at-start";

  /** All settings with a value, in the order shown on the settings page. */
  public static final List<SettingDefinition> DEFINITIONS =
      List.of(
          SettingDefinition.requiredText("zone", "name", "Availability zone of the instance."),
          SettingDefinition.requiredText(
              "log-address", "host:port", "Address of the platform's log and membership list."),
          SettingDefinition.text(
              "instance-id", "name", "", "Id of the instance; generated if absent."),
          SettingDefinition.text("rack", "name", "rack-0", "Rack of the instance."),
          SettingDefinition.text(
              "bind-address",
              "IP address",
              "127.0.0.1",
              "Address that the daemon binds to and announces to the platform."),
          SettingDefinition.number(
              "port", "TCP port", 0, 65_535, 7_420, "HTTP port; 0 selects a free port."),
          SettingDefinition.number(
              "peer-port", "TCP port", 0, 65_535, 0, "Port for peers; 0 selects a free port."),
          SettingDefinition.number(
              "log-retention-millis",
              "ms",
              60_000,
              31_536_000_000L,
              86_400_000,
              "Retention time of the log; the configuration is rewritten within a third of this"
                  + " time."),
          SettingDefinition.number(
              "zone-snapshot-interval-millis",
              "ms",
              1_000,
              86_400_000,
              180_000,
              "Interval between snapshots of the zone's state."),
          SettingDefinition.number(
              "poll-millis",
              "ms",
              10,
              1_500,
              500,
              "Maximum time that the log waits for a record before it returns an empty page; a"
                  + " longer time increases the age of the configuration that task starts rely on."),
          SettingDefinition.number(
              "read-back-timeout-millis",
              "ms",
              100,
              60_000,
              3_000,
              "Time to wait for a request written to the log to be read back; after it the outcome"
                  + " is reported as unknown."),
          SettingDefinition.number(
              "max-body-bytes",
              "bytes",
              1_024,
              1_048_576,
              262_144,
              "Maximum size of a request body."),
          SettingDefinition.number(
              "max-requests-in-progress",
              "requests",
              1,
              10_000,
              256,
              "Maximum number of requests in progress; further ones are refused."),
          SettingDefinition.number(
              "default-deadline-millis",
              "ms",
              10,
              600_000,
              10_000,
              "Deadline of a request that states none."),
          SettingDefinition.number(
              "stop-timeout-millis",
              "ms",
              0,
              600_000,
              30_000,
              "Time allowed for requests in progress to finish when the daemon stops."));

  /**
   * Validates the values, which are keyed by setting name, and returns the settings.
   *
   * @throws InvalidSettingsException if a value is missing or out of its range
   */
  static DaemonSettings of(Map<String, String> values, boolean requireLogAtStart)
      throws InvalidSettingsException {
    for (SettingDefinition definition : DEFINITIONS) {
      validate(definition, values.getOrDefault(definition.name(), ""));
    }
    String logAddress = values.get("log-address");
    return new DaemonSettings(
        values.get("bind-address"),
        (int) parseNumber(values, "port"),
        (int) parseNumber(values, "peer-port"),
        parseHost(logAddress),
        parsePort(logAddress),
        requireLogAtStart,
        (int) parseNumber(values, "max-body-bytes"),
        parseNumber(values, "default-deadline-millis"),
        toEntrySettings(values));
  }

  private static EntrySettings toEntrySettings(Map<String, String> values) {
    String instanceId = values.getOrDefault("instance-id", "");
    return new EntrySettings(
        values.get("zone"),
        values.get("rack"),
        instanceId.isEmpty() ? "entry-" + RequestIdIssuer.generate() : instanceId,
        parseNumber(values, "log-retention-millis"),
        parseNumber(values, "zone-snapshot-interval-millis"),
        parseNumber(values, "poll-millis"),
        parseNumber(values, "read-back-timeout-millis"),
        (int) parseNumber(values, "max-requests-in-progress"),
        parseNumber(values, "stop-timeout-millis"));
  }

  private static void validate(SettingDefinition definition, String value)
      throws InvalidSettingsException {
    if (value.isEmpty() && definition.required()) {
      throw new InvalidSettingsException(
          "setting "
              + definition.flag()
              + " is missing; give it as a flag or in the environment variable "
              + definition.environmentVariable());
    }
    if (definition.isNumber() && !isInRange(definition, value)) {
      throw new InvalidSettingsException(
          "setting "
              + definition.flag()
              + " must be a whole number from "
              + definition.minimum()
              + " to "
              + definition.maximum()
              + " ("
              + definition.unit()
              + "), but is \""
              + value
              + "\"; correct the flag or the environment variable "
              + definition.environmentVariable());
    }
  }

  private static boolean isInRange(SettingDefinition definition, String value) {
    try {
      long number = Long.parseLong(value);
      return number >= definition.minimum() && number <= definition.maximum();
    } catch (NumberFormatException e) {
      return false;
    }
  }

  private static long parseNumber(Map<String, String> values, String name) {
    return Long.parseLong(values.get(name));
  }

  private static String parseHost(String address) throws InvalidSettingsException {
    parsePort(address);
    return address.substring(0, address.lastIndexOf(':'));
  }

  private static int parsePort(String address) throws InvalidSettingsException {
    int colon = address.lastIndexOf(':');
    try {
      int port = colon < 1 ? 0 : Integer.parseInt(address.substring(colon + 1));
      if (port >= 1 && port <= 65_535) {
        return port;
      }
    } catch (NumberFormatException e) {
      throw invalidAddress(address);
    }
    throw invalidAddress(address);
  }

  private static InvalidSettingsException invalidAddress(String address) {
    return new InvalidSettingsException(
        "setting --log-address must be an IP address and a port such as 127.0.0.1:7400, but is \""
            + address
            + "\"; correct the flag or the environment variable CICADAFORD_LOG_ADDRESS");
  }
}
