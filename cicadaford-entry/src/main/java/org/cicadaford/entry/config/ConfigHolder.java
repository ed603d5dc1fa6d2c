package org.cicadaford.entry.config;

import java.util.UUID;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.decision.ConfigState;
import org.cicadaford.decision.Verdict;
import org.cicadaford.entry.metrics.EntryMetrics;
import org.cicadaford.entry.stream.LogWriter;
import org.cicadaford.entry.stream.StreamListener;
import org.cicadaford.entry.stream.StreamPosition;
import org.cicadaford.model.ConfigRecord;
import org.cicadaford.model.ConfigRecord.ConfigSnapshot;

/**
 * Applies the records of the {@code config} stream and publishes immutable views of the result.
 *
 * <p>Records are taken in on the follower's thread; {@link #view()} may be called from any thread.
 */
public final class ConfigHolder implements StreamListener<ConfigRecord> {

  /** Name of the stream. */
  public static final String STREAM = "config";

  private static final Logger LOG = LogManager.getLogger(ConfigHolder.class);

  private final LogWriter writer;
  private final RandomGenerator random;
  private final EntryMetrics metrics;
  private final long snapshotIntervalMillis;
  private ConfigState state = new ConfigState();
  private boolean changed;
  private long snapshotDueAtMillis;
  private volatile ConfigView view = new ConfigView(new ConfigState(), 0);

  /**
   * Creates a holder of the empty configuration.
   *
   * @param retentionMillis time for which the log keeps records; a snapshot is written when the
   *     last one is older than a third of it
   */
  public ConfigHolder(
      LogWriter writer, long retentionMillis, RandomGenerator random, EntryMetrics metrics) {
    this.writer = writer;
    this.random = random;
    this.metrics = metrics;
    this.snapshotIntervalMillis = retentionMillis / 3;
  }

  /** Returns the configuration in force as far as it was read. */
  public ConfigView view() {
    return view;
  }

  @Override
  public void onRecord(long offset, ConfigRecord record, long readAtMillis) {
    Verdict verdict = state.apply(offset, record);
    changed = true;
    if (verdict instanceof Verdict.Rejected rejected) {
      metrics.fault("config-record-rejected");
      LOG.debug("config record {} at {} rejected: {}", record, offset, rejected.reason());
    } else if (record instanceof ConfigSnapshot) {
      snapshotDueAtMillis = readAtMillis + snapshotIntervalMillis + jitterMillis();
    }
  }

  @Override
  public void onPage(StreamPosition position) {
    boolean usable = state.isComplete() || position.nextOffset() == 0;
    if (!usable || state.version() < view.version()) {
      return;
    }
    ConfigState published = changed ? state.copy() : view.state();
    changed = false;
    long confirmedAtMillis =
        position.atEnd() ? position.requestedAtMillis() : view.confirmedAtMillis();
    view = new ConfigView(published, confirmedAtMillis);
    if (position.atEnd()) {
      writeSnapshotIfDue(position.requestedAtMillis());
    }
  }

  @Override
  public void onGap(long earliestOffset) {
    // The state is rebuilt from the next snapshot; the last view stays in force until then.
    state = new ConfigState();
    changed = true;
  }

  private void writeSnapshotIfDue(long nowMillis) {
    if (!state.isComplete()) {
      return;
    }
    if (snapshotDueAtMillis == 0) {
      snapshotDueAtMillis = nowMillis + jitterMillis();
    }
    if (nowMillis >= snapshotDueAtMillis) {
      // A snapshot that another record comes in front of is rejected; it is written again then.
      snapshotDueAtMillis = nowMillis + 1_000 + jitterMillis() / 10;
      writer.append(STREAM, state.snapshot("snapshot-" + UUID.randomUUID()));
    }
  }

  private long jitterMillis() {
    return random.nextLong(1 + snapshotIntervalMillis / 4);
  }
}
