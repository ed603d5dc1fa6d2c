package org.cicadaford.standin;

import org.cicadaford.platform.PlatformSettings;
import picocli.CommandLine.Option;

/** Holds the command-line options of stand-ins that run several instances. */
final class InstanceOptions {

  @Option(names = "--count", defaultValue = "1", description = "Number of instances.")
  private int count;

  @Option(names = "--id-prefix", required = true, description = "Instance ids: prefix and index.")
  private String idPrefix;

  @Option(names = "--zone", required = true, description = "Availability zone.")
  private String zone;

  @Option(names = "--rack-size", defaultValue = "8", description = "Instances per rack.")
  private int rackSize;

  @Option(names = "--log-host", defaultValue = "127.0.0.1", description = "Address of the log.")
  private String logHost;

  @Option(names = "--log-port", required = true, description = "TCP port of the log.")
  private int logPort;

  @Option(names = "--port", defaultValue = "0", description = "First TCP port; 0: free ports.")
  private int firstPort;

  @Option(
      names = "--announce-millis",
      defaultValue = "1000",
      description = "Announcement interval.")
  private long announceMillis;

  int count() {
    return count;
  }

  String id(int index) {
    return idPrefix + index;
  }

  String zone() {
    return zone;
  }

  String rack(int index) {
    return zone + "-rack-" + index / rackSize;
  }

  int port(int index) {
    return firstPort == 0 ? 0 : firstPort + index;
  }

  PlatformSettings platformSettings() {
    return PlatformSettings.forLog(logHost, logPort);
  }

  long announceMillis() {
    return announceMillis;
  }
}
