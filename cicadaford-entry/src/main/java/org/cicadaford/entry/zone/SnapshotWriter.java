package org.cicadaford.entry.zone;

import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.cicadaford.decision.ZoneState;
import org.cicadaford.entry.metrics.EntryMetrics;
import org.cicadaford.entry.stream.AppendResult;
import org.cicadaford.entry.stream.AppendResult.Appended;
import org.cicadaford.entry.stream.LogWriter;
import org.cicadaford.model.ZoneRecord.ZoneSnapshotChunk;

/**
 * Writes snapshots of the zone's state while the owner appends nothing else.
 *
 * <p>The chunks of a snapshot are valid only directly after the record that the snapshot reflects.
 * A snapshot is abandoned at the first chunk with another offset, and written again later.
 */
final class SnapshotWriter {

  private static final long RETRY_MILLIS = 2_000;

  private final ZoneOwnerSettings settings;
  private final LogWriter writer;
  private final EntryMetrics metrics;
  private List<ZoneSnapshotChunk> chunks = List.of();
  private int index;
  private CompletableFuture<AppendResult> result;
  private long dueAtMillis;

  SnapshotWriter(ZoneOwnerSettings settings, LogWriter writer, EntryMetrics metrics) {
    this.settings = settings;
    this.writer = writer;
    this.metrics = metrics;
  }

  /** Restarts the snapshot interval at the start of an epoch. */
  void reset(long nowMillis) {
    result = null;
    dueAtMillis = nowMillis + settings.snapshotIntervalMillis();
  }

  boolean isWriting() {
    return result != null;
  }

  boolean isDue(long nowMillis) {
    return nowMillis >= dueAtMillis;
  }

  /** Starts a snapshot; the caller must have no other append pending. */
  void begin(ZoneState state) {
    chunks = state.snapshot("snapshot-" + UUID.randomUUID(), settings.maxChunkBytes());
    index = 0;
    appendNext();
  }

  /** Appends the next chunk once the last one was appended. */
  void writeNextChunk(long nowMillis) {
    if (result == null || !result.isDone()) {
      return;
    }
    ZoneSnapshotChunk chunk = chunks.get(index);
    long expectedOffset = chunk.asOfOffset() + 1 + chunk.index();
    boolean atExpectedOffset =
        result.join() instanceof Appended appended && appended.offset() == expectedOffset;
    result = null;
    if (!atExpectedOffset) {
      metrics.countRetry("zone-snapshot");
      scheduleNext(nowMillis + RETRY_MILLIS);
      return;
    }
    index++;
    if (index < chunks.size()) {
      appendNext();
    } else {
      metrics.countDecision("zone-snapshot");
      scheduleNext(nowMillis + settings.snapshotIntervalMillis());
    }
  }

  private void appendNext() {
    result = writer.append(settings.stream(), chunks.get(index));
  }

  private void scheduleNext(long nextDueAtMillis) {
    chunks = List.of();
    dueAtMillis = nextDueAtMillis;
  }
}
