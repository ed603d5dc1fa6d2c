package org.cicadaford.decision;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.model.ZoneRecord.ZoneSnapshotChunk;

/**
 * Assembles a snapshot from its chunks. A snapshot is valid only if its chunks follow the record at
 * its offset directly and in order; otherwise it would miss the records in between.
 */
final class ZoneSnapshotAssembler {

  private final ByteArrayOutputStream content = new ByteArrayOutputStream();
  private String snapshotId = "";
  private int nextIndex;

  /** Adds a chunk and returns the content if it was the last one. */
  Optional<ZoneSnapshotContent> add(long offset, ZoneSnapshotChunk chunk) {
    boolean inPlace = offset == chunk.asOfOffset() + 1 + chunk.index();
    if (chunk.index() == 0) {
      content.reset();
      snapshotId = chunk.snapshotId();
      nextIndex = 0;
    }
    if (!inPlace || !chunk.snapshotId().equals(snapshotId) || chunk.index() != nextIndex) {
      snapshotId = "";
      return Optional.empty();
    }
    content.writeBytes(chunk.content());
    nextIndex++;
    return nextIndex == chunk.count() ? decode() : Optional.empty();
  }

  private Optional<ZoneSnapshotContent> decode() {
    try {
      return Optional.of(RecordCodec.decode(content.toByteArray(), ZoneSnapshotContent.class));
    } catch (MalformedRecordException e) {
      return Optional.empty();
    }
  }
}
