package org.cicadaford.coordinator;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cicadaford.cell.RecordWrite;

/**
 * Encodes and decodes the heartbeat record, in which the coordinator names itself.
 *
 * <p>The coordinator appends it when it has nothing else to store, and beside other records at an
 * interval. An instance that watches the end of the journal learns of the coordinator from it, even
 * if it cannot read the announcement.
 */
final class JournalHeartbeat {

  private static final String KEY = "heartbeat";

  /**
   * Epoch, sequence number, address and instance. Earlier builds write the first two only; the
   * sequence number keeps consecutive heartbeats apart.
   */
  private static final Pattern FORMAT = Pattern.compile("(\\d{1,18})\\.\\d+ (\\S+) (.+)");

  private JournalHeartbeat() {}

  static RecordWrite record(Leadership coordinator, long sequence) {
    String text =
        coordinator.epoch()
            + "."
            + sequence
            + " "
            + coordinator.address()
            + " "
            + coordinator.instanceId();
    return new RecordWrite(KEY, text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a heartbeat that does not name the coordinator, as builds up to 2b31587 read it. */
  static RecordWrite unnamed(Leadership coordinator, long sequence) {
    String text = coordinator.epoch() + "." + sequence;
    return new RecordWrite(KEY, text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the coordinator that a journal record names, if it is a heartbeat that names one. */
  static Optional<Leadership> coordinatorIn(RecordWrite write) {
    if (!write.key().equals(KEY)) {
      return Optional.empty();
    }
    Matcher matcher = FORMAT.matcher(new String(write.value(), StandardCharsets.UTF_8));
    if (!matcher.matches() || !PeerAddress.isValid(matcher.group(2))) {
      return Optional.empty();
    }
    return Optional.of(
        new Leadership(Long.parseLong(matcher.group(1)), matcher.group(3), matcher.group(2)));
  }
}
