package org.cicadaford.coordinator;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.File;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Holds the settings of an instance's process, as rendered by {@code
 * deploy/settings.template.json}.
 *
 * @param instanceId id of the instance
 * @param zone availability zone of the instance
 * @param ip IP address of the instance
 * @param peerPort port for other instances
 * @param requestAddress address for callers' requests, {@code ip:port}
 * @param readinessAddress address for the readiness check and the metrics, {@code ip:port}
 * @param storeAddress address of the platform's store
 * @param adviceAddress address of the advice service, or an empty string
 * @param maxLeaseMillis longest lease of a worker, in milliseconds
 * @param keepEndedSeconds retention of ended jobs, in seconds
 * @param processorShare fraction of each processor available to the instance
 * @param processorCount number of processors
 * @param linkMegabits network bandwidth, in megabits per second; 0 if unknown
 * @param revokeMillis time after which a withdrawn key must be rejected, in milliseconds
 * @param stopSeconds time from the stop request until the process is killed, in seconds
 * @param metricsPort port that serves the metrics
 * @param bounds bounds of the deployment, from environment variables
 */
public record InstanceSettings(
    String instanceId,
    String zone,
    String ip,
    int peerPort,
    String requestAddress,
    String readinessAddress,
    String storeAddress,
    String adviceAddress,
    long maxLeaseMillis,
    long keepEndedSeconds,
    double processorShare,
    double processorCount,
    double linkMegabits,
    long revokeMillis,
    long stopSeconds,
    int metricsPort,
    @JsonIgnore BoundSettings bounds) {

  /** Maximum length of an instance id; readers of announcements refuse longer ones. */
  private static final int MAX_ID_LENGTH = 256;

  private static final ObjectMapper MAPPER =
      new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

  /**
   * Reads and validates the settings.
   *
   * @param environment environment variables, which state the bounds of the deployment
   * @throws IOException if the file cannot be read or a setting is not valid
   */
  public static InstanceSettings load(File file, Map<String, String> environment)
      throws IOException {
    InstanceSettings settings =
        MAPPER.readValue(file, InstanceSettings.class).withBounds(BoundSettings.of(environment));
    settings.check();
    return settings;
  }

  private InstanceSettings withBounds(BoundSettings newBounds) {
    return new InstanceSettings(
        instanceId,
        zone,
        ip,
        peerPort,
        requestAddress,
        readinessAddress,
        storeAddress,
        adviceAddress,
        maxLeaseMillis,
        keepEndedSeconds,
        processorShare,
        processorCount,
        linkMegabits,
        revokeMillis,
        stopSeconds,
        metricsPort,
        newBounds);
  }

  /**
   * Returns the settings of the instance in its cell.
   *
   * @throws IOException if a bound is not valid
   */
  CellSettings cellSettings() throws IOException {
    return new CellSettings(
        instanceId,
        zone,
        ip,
        peerPort,
        maxLeaseMillis,
        TimeUnit.SECONDS.toMillis(keepEndedSeconds),
        processorShare * processorCount,
        linkMegabits,
        CellSettings.keyFreshnessMillis(revokeMillis),
        bounds.bounds());
  }

  private void check() throws IOException {
    require(
        instanceId != null && !instanceId.isEmpty() && instanceId.length() <= MAX_ID_LENGTH,
        "instanceId must be given, with at most " + MAX_ID_LENGTH + " characters");
    require(zone != null && !zone.isEmpty(), "zone must be given");
    require(peerPort > 0 && peerPort < 65_536, "peerPort must be a port");
    require(requestAddress != null, "requestAddress must be given as ip:port");
    require(readinessAddress != null, "readinessAddress must be given as ip:port");
    require(storeAddress != null, "storeAddress must be given as ip:port");
    require(maxLeaseMillis > 0, "maxLeaseMillis must be positive");
    require(revokeMillis > 0, "revokeMillis must be positive");
    require(stopSeconds > 0, "stopSeconds must be positive");
    bounds.bounds();
  }

  /** Throws an exception whose message names a setting if a condition on it does not hold. */
  static void require(boolean condition, String message) throws IOException {
    if (!condition) {
      throw new IOException(message(message));
    }
  }

  /** Returns the message of a fault in the settings. */
  static String message(String fault) {
    return "setting: " + fault + "; correct the settings file or the environment";
  }
}
