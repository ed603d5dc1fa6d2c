package org.cicadaford.entry.config;

import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.decision.ApplyResult;
import org.cicadaford.decision.ConfigState;
import org.cicadaford.entry.metrics.EntryMetrics;
import org.cicadaford.entry.stream.LogWriter;
import org.cicadaford.entry.stream.StreamListener;
import org.cicadaford.entry.stream.StreamPosition;
import org.cicadaford.model.ConfigRecord;
import org.cicadaford.model.ConfigRecord.ConfigSnapshot;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.wire.PeerMessage.ConfigRecordsAnswer;

/**
 * Applies the records of the {@code config} stream and publishes immutable views of the
 * configuration.
 *
 * <p>Records come from the follower's thread and, while the log is unreachable, from peers.
 * Thread-safe.
 */
public final class ConfigStore implements StreamListener<ConfigRecord> {

  /** Name of the stream. */
  public static final String STREAM = "config";

  private static final Logger LOG = LogManager.getLogger(ConfigStore.class);

  private final LogWriter writer;
  private final RandomGenerator random;
  private final EntryMetrics metrics;
  private final long snapshotIntervalMillis;
  private final RecentRecords recentRecords = new RecentRecords();
  private ConfigState state = new ConfigState();
  private boolean changed;
  private long snapshotDueAtMillis;
  private volatile ConfigView view = new ConfigView(new ConfigState(), 0);

  /**
   * Creates a store with an empty configuration.
   *
   * @param retentionMillis retention time of log records; a snapshot is written when the last one
   *     is older than a third of it
   */
  public ConfigStore(
      LogWriter writer, long retentionMillis, RandomGenerator random, EntryMetrics metrics) {
    this.writer = writer;
    this.random = random;
    this.metrics = metrics;
    this.snapshotIntervalMillis = retentionMillis / 3;
  }

  /** Returns the current view of the configuration. */
  public ConfigView view() {
    return view;
  }

  @Override
  public synchronized void onRecord(long offset, ConfigRecord record, long readAtMillis) {
    if (offset <= state.version()) {
      return;
    }
    apply(offset, record, readAtMillis);
  }

  private void apply(long offset, ConfigRecord record, long readAtMillis) {
    ApplyResult verdict = state.apply(offset, record);
    changed = true;
    recentRecords.add(offset, record);
    if (verdict instanceof ApplyResult.Rejected rejected) {
      metrics.countFault("config-record-rejected");
      LOG.debug("config record {} at {} rejected: {}", record, offset, rejected.reason());
    } else if (record instanceof ConfigSnapshot) {
      snapshotDueAtMillis = readAtMillis + snapshotIntervalMillis + jitterMillis();
    }
  }

  @Override
  public synchronized void onPage(StreamPosition position) {
    boolean publishable = state.isComplete() || position.nextOffset() == 0;
    if (!publishable || state.version() < view.version()) {
      return;
    }
    ConfigState published = changed ? state.copy() : view.state();
    changed = false;
    long readAtMillis = position.atEnd() ? position.requestedAtMillis() : 0;
    view = new ConfigView(published, Math.max(readAtMillis, view.confirmedAtMillis()));
    if (position.atEnd()) {
      writeSnapshotIfDue(position.requestedAtMillis());
    }
  }

  @Override
  public synchronized void onRecordsExpired(long earliestOffset) {
    // The state is rebuilt from the next snapshot; the last view stays published until then.
    state = new ConfigState();
    recentRecords.clear();
    changed = true;
  }

  /** Returns records from {@code fromOffset} on, or a snapshot if they are no longer kept. */
  public synchronized ConfigRecordsAnswer recordsFrom(long fromOffset) {
    boolean publishable = state.isComplete() && state.version() == view.version();
    long confirmedAtMillis = publishable ? view.confirmedAtMillis() : 0;
    Optional<List<byte[]>> records = recentRecords.recordsFrom(fromOffset, state.version());
    if (records.isPresent()) {
      return new ConfigRecordsAnswer(new byte[0], fromOffset, records.get(), confirmedAtMillis);
    }
    ConfigState current = view.state();
    byte[] snapshot =
        current.isComplete() ? RecordCodec.encode(current.snapshot("peer")) : new byte[0];
    return new ConfigRecordsAnswer(snapshot, fromOffset, List.of(), confirmedAtMillis);
  }

  /**
   * Applies configuration records that a peer has read from the log.
   *
   * @throws MalformedRecordException if the answer contains anything but configuration records
   */
  public synchronized void applyPeerRecords(ConfigRecordsAnswer answer, long nowMillis)
      throws MalformedRecordException {
    if (answer.snapshot().length > 0) {
      ConfigSnapshot snapshot = RecordCodec.decode(answer.snapshot(), ConfigSnapshot.class);
      if (state.loadFromPeer(snapshot)) {
        recentRecords.clear();
        changed = true;
      }
    }
    long offset = answer.firstOffset();
    for (byte[] content : answer.records()) {
      boolean isNext = offset == state.version() + 1 && (offset == 0 || state.isComplete());
      if (isNext) {
        apply(offset, RecordCodec.decode(content, ConfigRecord.class), nowMillis);
      }
      offset++;
    }
    publish(view.confirmedAtMillis());
  }

  /**
   * Applies a peer's confirmation that the log had no record newer than {@code version} at {@code
   * confirmedAtMillis}. It is ignored if this store has not reached that version.
   */
  public synchronized void confirmFromPeer(long version, long confirmedAtMillis) {
    if (view.version() >= version && confirmedAtMillis > view.confirmedAtMillis()) {
      view = new ConfigView(view.state(), confirmedAtMillis);
    }
  }

  private void publish(long confirmedAtMillis) {
    boolean publishable = state.isComplete() && state.version() >= view.version();
    if (changed && publishable) {
      changed = false;
      view = new ConfigView(state.copy(), confirmedAtMillis);
    }
  }

  private void writeSnapshotIfDue(long nowMillis) {
    if (!state.isComplete()) {
      return;
    }
    if (snapshotDueAtMillis == 0) {
      snapshotDueAtMillis = nowMillis + jitterMillis();
    }
    if (nowMillis >= snapshotDueAtMillis) {
      // A snapshot is rejected if another record was appended before it; it is then written again.
      snapshotDueAtMillis = nowMillis + 1_000 + jitterMillis() / 10;
      writer.append(STREAM, state.snapshot("snapshot-" + UUID.randomUUID()));
    }
  }

  private long jitterMillis() {
    return random.nextLong(1 + snapshotIntervalMillis / 4);
  }
}
