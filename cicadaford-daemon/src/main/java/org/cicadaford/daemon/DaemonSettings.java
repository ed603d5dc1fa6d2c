package org.cicadaford.daemon;

import java.util.List;
import java.util.Map;
import org.cicadaford.entry.EntrySettings;
import org.cicadaford.entry.RequestIdIssuer;

/**
 * Settings of the daemon; {@link #DEFINITIONS} holds the unit, range and default of each.
 *
 * @param bindAddress IP address that the daemon listens on and is reached by
 * @param port TCP port of the HTTP interface; 0 lets the system choose
 * @param peerPort TCP port for peers; 0 lets the system choose
 * @param logHost IP address of the log
 * @param logPort TCP port of the log
 * @param requireLogAtStart whether the daemon exits if the log is not reached at its start
 * @param maxBodyBytes largest body of a request
 * @param defaultDeadlineMillis time in which a caller gets its answer if it names none
 * @param entry settings of the entry library
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

  /** Name of the flag that takes no value. */
  public static final String REQUIRE_LOG_AT_START = "require-log-at-start";

  /** All settings with a value, in the order of the settings page. */
  public static final List<SettingDefinition> DEFINITIONS =
      List.of(
          SettingDefinition.requiredText(
              "zone", "name", "Availability zone that the daemon serves."),
          SettingDefinition.requiredText(
              "log-address", "host:port", "Address of the platform's log and membership list."),
          SettingDefinition.text(
              "instance-id", "name", "", "Id of the instance; generated if absent."),
          SettingDefinition.text("rack", "name", "rack-0", "Rack that the instance is in."),
          SettingDefinition.text(
              "bind-address",
              "IP address",
              "127.0.0.1",
              "Address that the daemon listens on and announces to the platform."),
          SettingDefinition.number(
              "port", "TCP port", 0, 65_535, 7_420, "HTTP port; 0 lets the system choose."),
          SettingDefinition.number(
              "peer-port", "TCP port", 0, 65_535, 0, "Port for peers; 0 lets the system choose."),
          SettingDefinition.number(
              "log-retention-millis",
              "ms",
              60_000,
              31_536_000_000L,
              86_400_000,
              "Time for which the log keeps records; the configuration is written again within a"
                  + " third of it."),
          SettingDefinition.number(
              "zone-snapshot-interval-millis",
              "ms",
              1_000,
              86_400_000,
              180_000,
              "Time between two snapshots of the zone's state."),
          SettingDefinition.number(
              "poll-millis",
              "ms",
              10,
              1_500,
              500,
              "Time for which the log may hold back an empty answer; the age of the configuration"
                  + " that starts depend on grows with it."),
          SettingDefinition.number(
              "read-back-timeout-millis",
              "ms",
              100,
              60_000,
              3_000,
              "Time after which a recorded request that was not read back is answered as"
                  + " unknown."),
          SettingDefinition.number(
              "max-body-bytes", "bytes", 1_024, 1_048_576, 262_144, "Largest body of a request."),
          SettingDefinition.number(
              "max-requests-in-progress",
              "requests",
              1,
              10_000,
              256,
              "Requests beyond this number are refused."),
          SettingDefinition.number(
              "default-deadline-millis",
              "ms",
              10,
              600_000,
              10_000,
              "Time in which a caller gets its answer if it names no deadline."),
          SettingDefinition.number(
              "stop-timeout-millis",
              "ms",
              0,
              600_000,
              30_000,
              "Time that requests in progress get to finish when the daemon stops."));

  /**
   * Checks values by name and returns the settings.
   *
   * @throws InvalidSettingsException if a value is missing or out of its range
   */
  static DaemonSettings of(Map<String, String> values, boolean requireLogAtStart)
      throws InvalidSettingsException {
    for (SettingDefinition definition : DEFINITIONS) {
      check(definition, values.getOrDefault(definition.name(), ""));
    }
    String logAddress = values.get("log-address");
    return new DaemonSettings(
        values.get("bind-address"),
        (int) number(values, "port"),
        (int) number(values, "peer-port"),
        hostOf(logAddress),
        portOf(logAddress),
        requireLogAtStart,
        (int) number(values, "max-body-bytes"),
        number(values, "default-deadline-millis"),
        entrySettings(values));
  }

  private static EntrySettings entrySettings(Map<String, String> values) {
    String instanceId = values.getOrDefault("instance-id", "");
    return new EntrySettings(
        values.get("zone"),
        values.get("rack"),
        instanceId.isEmpty() ? "entry-" + RequestIdIssuer.generate() : instanceId,
        number(values, "log-retention-millis"),
        number(values, "zone-snapshot-interval-millis"),
        number(values, "poll-millis"),
        number(values, "read-back-timeout-millis"),
        (int) number(values, "max-requests-in-progress"),
        number(values, "stop-timeout-millis"));
  }

  private static void check(SettingDefinition definition, String value)
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

  private static long number(Map<String, String> values, String name) {
    return Long.parseLong(values.get(name));
  }

  private static String hostOf(String address) throws InvalidSettingsException {
    portOf(address);
    return address.substring(0, address.lastIndexOf(':'));
  }

  private static int portOf(String address) throws InvalidSettingsException {
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
