package org.cicadaford.coordinator;

import java.nio.charset.StandardCharsets;
import org.cicadaford.cell.RecordWrite;

/** Creates the heartbeat record that the coordinator appends when it has nothing else to store. */
final class JournalHeartbeat {

  private static final String KEY = "heartbeat";

  private JournalHeartbeat() {}

  static RecordWrite record(long epoch, long sequence) {
    String text = epoch + "." + sequence;
    return new RecordWrite(KEY, text.getBytes(StandardCharsets.US_ASCII));
  }
}
