package org.cicadaford.entry.stream;

import java.time.InstantSource;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.entry.metrics.EntryMetrics;
import org.cicadaford.model.LogRecord;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.platform.LogEntry;
import org.cicadaford.platform.LogPage;
import org.cicadaford.platform.LogService;
import org.cicadaford.platform.LogUnavailableException;
import org.cicadaford.platform.OffsetExpiredException;

/**
 * Tails a stream of the log by long polling and passes its records to a {@link StreamListener}.
 *
 * @param <R> type of the stream's records
 */
public final class StreamFollower<R extends LogRecord> {

  private static final Logger LOG = LogManager.getLogger(StreamFollower.class);
  private static final int MAX_PAGE_BYTES = 512 * 1024;
  private static final long BACKOFF_BASE_MILLIS = 50;
  private static final long BACKOFF_MAX_MILLIS = 2_000;

  private final String stream;
  private final Class<R> type;
  private final LogService log;
  private final StreamListener<R> listener;
  private final long pollMillis;
  private final InstantSource clock;
  private final EntryMetrics metrics;
  private final Backoff backoff;
  private final Thread thread;
  private volatile boolean stopping;
  private volatile boolean available;
  private long nextOffset;

  /**
   * Creates a follower that is not started.
   *
   * @param pollMillis long-poll timeout of log reads
   */
  public StreamFollower(
      String stream,
      Class<R> type,
      LogService log,
      StreamListener<R> listener,
      long pollMillis,
      InstantSource clock,
      RandomGenerator random,
      EntryMetrics metrics) {
    this.stream = stream;
    this.type = type;
    this.log = log;
    this.listener = listener;
    this.pollMillis = pollMillis;
    this.clock = clock;
    this.metrics = metrics;
    this.backoff = new Backoff(BACKOFF_BASE_MILLIS, BACKOFF_MAX_MILLIS, random);
    this.thread = new Thread(this::run, "follow-" + stream);
  }

  /** Starts the follower's thread. */
  public void start() {
    thread.start();
  }

  /** Stops the follower and waits for its thread to end. */
  public void stop() throws InterruptedException {
    stopping = true;
    thread.interrupt();
    thread.join(5_000);
  }

  /** Returns whether the last read of the log succeeded. */
  public boolean isLogAvailable() {
    return available;
  }

  private void run() {
    try {
      while (!stopping) {
        readPage();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void readPage() throws InterruptedException {
    long requestedAtMillis = clock.millis();
    try {
      LogPage page = log.read(stream, nextOffset, MAX_PAGE_BYTES, pollMillis);
      markAvailable();
      deliver(page, requestedAtMillis);
    } catch (OffsetExpiredException e) {
      markAvailable();
      skipExpired(e.earliestOffset());
    } catch (LogUnavailableException e) {
      markUnavailable(e);
      Thread.sleep(backoff.nextDelayMillis());
    }
  }

  private void deliver(LogPage page, long requestedAtMillis) throws InterruptedException {
    long readAtMillis = clock.millis();
    for (LogEntry entry : page.entries()) {
      deliver(entry, readAtMillis);
      nextOffset = entry.offset() + 1;
    }
    metrics.countRecordsRead(stream, page.entries().size());
    boolean atEnd = page.entries().isEmpty() || nextOffset >= page.endOffset();
    listener.onPage(new StreamPosition(nextOffset, atEnd, requestedAtMillis));
  }

  private void deliver(LogEntry entry, long readAtMillis) throws InterruptedException {
    try {
      listener.onRecord(entry.offset(), RecordCodec.decode(entry.content(), type), readAtMillis);
    } catch (MalformedRecordException e) {
      // Every reader skips the same bytes, so all replicas derive the same state.
      metrics.countFault("malformed-record");
      LOG.warn(
          "skipped malformed record at offset {} of stream {}: {}",
          entry.offset(),
          stream,
          e.getMessage());
    }
  }

  private void skipExpired(long earliestOffset) throws InterruptedException {
    if (earliestOffset <= nextOffset) {
      Thread.sleep(backoff.nextDelayMillis());
      return;
    }
    if (nextOffset > 0) {
      metrics.countFault("stream-gap");
      LOG.warn(
          "stream {}: records from offset {} to {} expired; rebuilding from the next snapshot",
          stream,
          nextOffset,
          earliestOffset);
    }
    nextOffset = earliestOffset;
    listener.onRecordsExpired(earliestOffset);
  }

  private void markAvailable() {
    backoff.reset();
    if (!available) {
      available = true;
      LOG.info("reads of stream {} succeed", stream);
    }
  }

  private void markUnavailable(LogUnavailableException cause) {
    metrics.countRetry("read-" + streamKind());
    // A log that has not answered since the start is reported by the readiness check.
    if (available && !stopping) {
      LOG.warn("reads of stream {} fail: {}", stream, cause.getMessage());
    }
    available = false;
  }

  private String streamKind() {
    return stream.startsWith("zone-") ? "zone" : stream;
  }
}
