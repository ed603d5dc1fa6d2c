package org.cicadaford.platform;

import java.util.List;

/**
 * Records read from a stream.
 *
 * @param entries records in the order of their offsets
 * @param endOffset offset that the next append to the stream would have got when the log answered
 */
public record LogPage(List<LogEntry> entries, long endOffset) {

  /** Copies the list of entries. */
  public LogPage {
    entries = List.copyOf(entries);
  }
}
