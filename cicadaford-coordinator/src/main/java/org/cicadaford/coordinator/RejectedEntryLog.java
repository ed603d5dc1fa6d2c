package org.cicadaford.coordinator;

import java.io.IOException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Counts the entries of other writers that cannot be used, and names each in one log line.
 *
 * <p>A content that is read again is not named again, and the number of lines per second is
 * limited, so that a flood of such entries does not fill the log. Confined to one thread.
 */
public final class RejectedEntryLog {

  private static final Logger LOGGER = LogManager.getLogger(RejectedEntryLog.class);

  /** Maximum number of lines per second; a worker entry may change twice a second. */
  private static final int LINES_PER_SECOND = 5;

  /** Number of keys whose last named content is remembered. */
  private static final int REMEMBERED_KEYS = 1_000;

  private static final int MAX_KEY_LENGTH = 80;
  private static final int MAX_REASON_LENGTH = 200;

  /** Category of its lines in the counter of dropped lines. */
  private static final String LOG_CATEGORY = "rejected-entry";

  private final CellMetrics metrics;
  private final LongSupplier nowMillis;
  private final Map<String, Integer> contentHashes =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
          return size() > REMEMBERED_KEYS;
        }
      };
  private long secondStartMillis = Long.MIN_VALUE / 2;
  private int linesInSecond;

  /** Creates the log; {@code nowMillis} returns the monotonic time in milliseconds. */
  public RejectedEntryLog(CellMetrics metrics, LongSupplier nowMillis) {
    this.metrics = metrics;
    this.nowMillis = nowMillis;
  }

  /**
   * Records an entry that cannot be used.
   *
   * @param kind kind of entry, such as {@code worker}
   * @param key key or id of the entry; may hold any characters
   * @param consequence what is done instead of using it
   * @param failure why it cannot be used
   */
  public void write(
      String kind, String key, byte[] content, String consequence, Throwable failure) {
    metrics.recordRejectedEntry(kind);
    Integer hash = Arrays.hashCode(content);
    if (hash.equals(contentHashes.put(kind + "/" + key, hash)) || !acquireLine()) {
      return;
    }
    LOGGER.warn(
        "{} entry {} cannot be used, {}: {}",
        kind,
        LogText.bounded(key, MAX_KEY_LENGTH),
        consequence,
        LogText.bounded(reason(failure), MAX_REASON_LENGTH));
  }

  private static String reason(Throwable failure) {
    String message = failure.getMessage();
    // Checked exceptions say what is odd; an unchecked one is told by its type.
    return failure instanceof IOException && message != null
        ? message
        : failure.getClass().getSimpleName() + ": " + message;
  }

  private boolean acquireLine() {
    long now = nowMillis.getAsLong();
    if (now - secondStartMillis >= 1_000) {
      secondStartMillis = now;
      linesInSecond = 0;
    }
    linesInSecond++;
    if (linesInSecond > LINES_PER_SECOND) {
      metrics.recordDroppedLogLine(LOG_CATEGORY);
      return false;
    }
    return true;
  }
}
