package org.cicadaford.coordinator;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Counts the failed reads of something that this process follows, and logs when they begin and end.
 */
final class DependencyStatus {

  private static final Logger LOGGER = LogManager.getLogger(DependencyStatus.class);

  private static final int MAX_REASON_LENGTH = 200;

  private final String name;
  private final String consequence;
  private final CellMetrics metrics;
  private boolean lost;

  /**
   * Creates the status of a dependency that counts as available.
   *
   * @param name name for log lines and the counter
   * @param consequence what the process does while it is lost
   */
  DependencyStatus(String name, String consequence, CellMetrics metrics) {
    this.name = name;
    this.consequence = consequence;
    this.metrics = metrics;
  }

  /** Records the result of a read; a null {@code failure} is a success. */
  void record(Throwable failure) {
    if (failure != null) {
      metrics.recordFailedRead(name);
      if (!lost) {
        String reason = LogText.bounded(String.valueOf(failure), MAX_REASON_LENGTH);
        LOGGER.warn("{} lost: {}: {}", name, consequence, reason);
      }
    } else if (lost) {
      LOGGER.info("{} back", name);
    }
    lost = failure != null;
  }
}
