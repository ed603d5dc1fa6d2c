package org.cicadaford.platform;

import java.util.List;

/**
 * Holds the records that one read of a stream returned.
 *
 * @param entries records in the order of their offsets
 * @param endOffset next offset that the stream would assign, as of the log's response
 */
public record LogPage(List<LogEntry> entries, long endOffset) {

  /** Makes an immutable copy of the entries. */
  public LogPage {
    entries = List.copyOf(entries);
  }
}
