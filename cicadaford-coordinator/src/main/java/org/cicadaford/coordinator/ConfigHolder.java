package org.cicadaford.coordinator;

import java.util.Set;
import org.cicadaford.cell.CellConfig;
import org.cicadaford.cell.ClockReading;

/** Holds the configuration that this process has seen; it never goes back to an older version. */
public final class ConfigHolder {

  private CellDirectory.PublishedConfig published =
      new CellDirectory.PublishedConfig(CellConfig.EMPTY, Set.of());
  private ClockReading confirmedAt;

  /**
   * Takes what was published.
   *
   * @param askedAt time at which the question was sent; the answer is at least that new
   * @return whether anything has changed
   */
  public boolean take(CellDirectory.PublishedConfig newest, ClockReading askedAt) {
    confirmedAt = askedAt;
    boolean older = newest.config().version() < published.config().version();
    CellConfig config = older ? published.config() : newest.config();
    boolean changed =
        config.version() != published.config().version()
            || !newest.zonesOut().equals(published.zonesOut());
    published = new CellDirectory.PublishedConfig(config, newest.zonesOut());
    return changed;
  }

  /** Returns what was published last. */
  public CellDirectory.PublishedConfig published() {
    return published;
  }

  /** Returns whether a configuration has been read. */
  public boolean known() {
    return published.config().version() >= 0;
  }

  /** Returns whether the configuration was confirmed at most {@code millis} ago. */
  public boolean confirmedWithin(long millis, ClockReading now) {
    return confirmedAt != null && now.millisSince(confirmedAt) <= millis;
  }
}
