package org.cicadaford.coordinator;

import java.io.IOException;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.Map;
import org.cicadaford.cell.DeploymentBounds;

/**
 * Environment variables that state the bounds of a deployment, as {@code deploy/system.toml} sets
 * them. A value that a deployment lacks is rendered as an empty one; its default is then used.
 *
 * @param runStopMillis maximum time in which a worker stops a run, in milliseconds
 * @param restoreMillis time for the restore from a checkpoint, in milliseconds
 * @param checkpointSeconds work between two checkpoints, in seconds; may have a fraction
 * @param drainMillis minimum time for which a draining worker serves, in milliseconds
 * @param gangTimeoutMillis time for which a gang member waits for the others, in milliseconds
 * @param noticeMillis notice before a worker is taken away, in milliseconds
 * @param maxRecordBytes maximum size of a record in the store
 */
public record BoundSettings(
    String runStopMillis,
    String restoreMillis,
    String checkpointSeconds,
    String drainMillis,
    String gangTimeoutMillis,
    String noticeMillis,
    String maxRecordBytes) {

  private static final String PREFIX = "CICADAFORD_";

  private static final String RUN_STOP_MILLIS = PREFIX + "RUN_STOP_MILLIS";
  private static final String RESTORE_MILLIS = PREFIX + "RESTORE_MILLIS";
  private static final String CHECKPOINT_SECONDS = PREFIX + "CHECKPOINT_SECONDS";
  private static final String DRAIN_MILLIS = PREFIX + "DRAIN_MILLIS";
  private static final String GANG_TIMEOUT_MILLIS = PREFIX + "GANG_TIMEOUT_MILLIS";
  private static final String NOTICE_MILLIS = PREFIX + "NOTICE_MILLIS";
  private static final String RECORD_BYTES_NAME = PREFIX + "MAX_RECORD_BYTES";

  private static final long MAX_MILLIS = 3_600_000;
  private static final int MILLIS_PER_SECOND = 1_000;

  /** The smallest limit that holds an ordinary job; the coordinator could store nothing below. */
  private static final int MIN_RECORD_BYTES = 4_096;

  /** The store accepts at most 2 MiB in a call. */
  private static final int MAX_RECORD_BYTES = 2_097_152;

  /** Returns the settings in an environment; those that it lacks are empty. */
  static BoundSettings of(Map<String, String> environment) {
    return new BoundSettings(
        environment.getOrDefault(RUN_STOP_MILLIS, ""),
        environment.getOrDefault(RESTORE_MILLIS, ""),
        environment.getOrDefault(CHECKPOINT_SECONDS, ""),
        environment.getOrDefault(DRAIN_MILLIS, ""),
        environment.getOrDefault(GANG_TIMEOUT_MILLIS, ""),
        environment.getOrDefault(NOTICE_MILLIS, ""),
        environment.getOrDefault(RECORD_BYTES_NAME, ""));
  }

  /**
   * Returns the bounds.
   *
   * @throws IOException if a setting is not a number in its range; the message names the setting
   */
  DeploymentBounds bounds() throws IOException {
    DeploymentBounds defaults = DeploymentBounds.DEFAULT;
    return new DeploymentBounds(
        millis(RUN_STOP_MILLIS, runStopMillis, defaults.runStopMillis()),
        millis(RESTORE_MILLIS, restoreMillis, defaults.restoreMillis()),
        scaled(
            CHECKPOINT_SECONDS,
            checkpointSeconds,
            0,
            MAX_MILLIS / MILLIS_PER_SECOND,
            MILLIS_PER_SECOND,
            defaults.checkpointMillis()),
        millis(DRAIN_MILLIS, drainMillis, defaults.drainMillis()),
        millis(GANG_TIMEOUT_MILLIS, gangTimeoutMillis, defaults.gangTimeoutMillis()),
        millis(NOTICE_MILLIS, noticeMillis, defaults.noticeMillis()),
        (int)
            scaled(
                RECORD_BYTES_NAME,
                maxRecordBytes,
                MIN_RECORD_BYTES,
                MAX_RECORD_BYTES,
                1,
                defaults.maxRecordBytes()));
  }

  private static long millis(String name, String text, long defaultMillis) throws IOException {
    return scaled(name, text, 0, MAX_MILLIS, 1, defaultMillis);
  }

  /** Returns a value multiplied by {@code factor}, or the default if the setting is absent. */
  private static long scaled(
      String name, String text, long minimum, long maximum, int factor, long defaultValue)
      throws IOException {
    if (text == null || text.isBlank() || text.equals("null")) {
      return defaultValue;
    }
    String range = "must be a number from " + minimum + " to " + maximum;
    BigDecimal value;
    try {
      value = new BigDecimal(text.strip());
    } catch (NumberFormatException e) {
      throw new IOException(InstanceSettings.message(name + " " + range), e);
    }
    InstanceSettings.require(
        value.compareTo(BigDecimal.valueOf(minimum)) >= 0
            && value.compareTo(BigDecimal.valueOf(maximum)) <= 0,
        name + " " + range);
    return value
        .multiply(BigDecimal.valueOf(factor))
        .setScale(0, RoundingMode.HALF_UP)
        .longValueExact();
  }
}
