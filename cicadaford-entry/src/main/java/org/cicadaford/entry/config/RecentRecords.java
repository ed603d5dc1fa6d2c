package org.cicadaford.entry.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.cicadaford.model.ConfigRecord;
import org.cicadaford.model.RecordCodec;

/** Keeps the most recent configuration records for peers that are behind. */
final class RecentRecords {

  /** Limit on kept records: half a day of changes in the largest supported cell, 200 bytes each. */
  private static final int MAX_RECORD_COUNT = 1_200;

  /** Limit on records per answer, which keeps it below the frame size limit. */
  private static final int MAX_RECORDS_PER_ANSWER = 200;

  private static final int MAX_ANSWER_BYTES = 512 * 1024;

  private final Deque<ConfigRecord> records = new ArrayDeque<>();
  private long nextOffset;

  /** Adds the record at {@code offset}; after a gap all earlier records are dropped. */
  void add(long offset, ConfigRecord record) {
    if (offset != nextOffset) {
      records.clear();
    }
    nextOffset = offset + 1;
    records.add(record);
    if (records.size() > MAX_RECORD_COUNT) {
      records.remove();
    }
  }

  void clear() {
    records.clear();
  }

  /** Returns records from {@code fromOffset} on, or empty if some of them are no longer kept. */
  Optional<List<byte[]>> recordsFrom(long fromOffset, long version) {
    long firstOffset = nextOffset - records.size();
    if (fromOffset > version) {
      return Optional.of(List.of());
    }
    if (records.isEmpty() || fromOffset < firstOffset) {
      return Optional.empty();
    }
    return Optional.of(encodeFrom(fromOffset - firstOffset));
  }

  private List<byte[]> encodeFrom(long skipCount) {
    List<byte[]> contents = new ArrayList<>();
    long bytes = 0;
    for (ConfigRecord record :
        records.stream().skip(skipCount).limit(MAX_RECORDS_PER_ANSWER).toList()) {
      byte[] content = RecordCodec.encode(record);
      bytes += content.length;
      if (bytes > MAX_ANSWER_BYTES && !contents.isEmpty()) {
        break;
      }
      contents.add(content);
    }
    return contents;
  }
}
