package org.cicadaford.coordinator;

import java.util.Set;
import org.cicadaford.cell.CellConfig;
import org.cicadaford.cell.ClockReading;

/**
 * Holds the newest configuration that this process has read; it never reverts to an older version.
 */
public final class ConfigHolder {

  private CellDirectory.PublishedConfig published =
      new CellDirectory.PublishedConfig(CellConfig.EMPTY, Set.of());
  private ClockReading confirmedAt;

  /**
   * Applies a configuration that was read.
   *
   * @param requestedAt time at which the read was sent; the result is at least that new
   * @return whether the configuration or the zones out of service changed
   */
  public boolean update(CellDirectory.PublishedConfig newest, ClockReading requestedAt) {
    confirmedAt = requestedAt;
    boolean older = newest.config().version() < published.config().version();
    CellConfig config = older ? published.config() : newest.config();
    boolean changed =
        config.version() != published.config().version()
            || !newest.zonesOut().equals(published.zonesOut());
    published = new CellDirectory.PublishedConfig(config, newest.zonesOut());
    return changed;
  }

  /** Returns the configuration in force. */
  public CellDirectory.PublishedConfig published() {
    return published;
  }

  /** Returns whether a configuration has been read. */
  public boolean isLoaded() {
    return published.config().version() >= 0;
  }

  /** Returns whether the configuration was confirmed at most {@code millis} ago. */
  public boolean isConfirmedWithin(long millis, ClockReading now) {
    return confirmedAt != null && now.millisSince(confirmedAt) <= millis;
  }
}
