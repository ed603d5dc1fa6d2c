package org.cicadaford.entry.stream;

import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.entry.metrics.EntryMetrics;
import org.cicadaford.entry.stream.AppendResult.Appended;
import org.cicadaford.entry.stream.AppendResult.NotAppended;
import org.cicadaford.entry.stream.AppendResult.NotAppended.Cause;
import org.cicadaford.entry.stream.AppendResult.Unknown;
import org.cicadaford.model.LogRecord;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.platform.LogOutcomeUnknownException;
import org.cicadaford.platform.LogService;
import org.cicadaford.platform.LogUnavailableException;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;

/** Appends queued records to the log one at a time, in the order of submission. */
public final class LogWriter {

  /** Limit on queued records; about one second of work at a few hundred appends per second. */
  public static final int QUEUE_CAPACITY = 512;

  private static final Logger LOG = LogManager.getLogger(LogWriter.class);

  /**
   * Time after which a queued record is refused, in milliseconds. When the log is slow, callers are
   * refused early instead of close to their deadline.
   */
  private static final long MAX_QUEUE_TIME_MILLIS = 1_000;

  private final String name;
  private final LogService log;
  private final InstantSource clock;
  private final EntryMetrics metrics;
  private final MpscBlockingConsumerArrayQueue<QueuedRecord> queue;
  private final Thread thread;
  private volatile boolean stopping;
  private boolean available = true;

  private record QueuedRecord(
      String stream, byte[] content, long queuedAtMillis, CompletableFuture<AppendResult> result) {}

  /** Creates a writer that is not started. */
  public LogWriter(
      String name, LogService log, int queueCapacity, InstantSource clock, EntryMetrics metrics) {
    this.name = name;
    this.log = log;
    this.clock = clock;
    this.metrics = metrics;
    this.queue = new MpscBlockingConsumerArrayQueue<>(queueCapacity);
    this.thread = new Thread(this::run, "write-" + name);
  }

  /** Starts the writer's thread. */
  public void start() {
    thread.start();
  }

  /** Refuses new records, appends the queued ones, and waits for the thread to end. */
  public void stop() throws InterruptedException {
    stopping = true;
    thread.join(10_000);
    refuseQueued();
  }

  /** Queues a record; the result completes on the writer's thread, or immediately if refused. */
  public CompletableFuture<AppendResult> append(String stream, LogRecord record) {
    CompletableFuture<AppendResult> result = new CompletableFuture<>();
    QueuedRecord queued =
        new QueuedRecord(stream, RecordCodec.encode(record), clock.millis(), result);
    if (stopping) {
      refuse(queued, Cause.STOPPING, "this instance is stopping");
    } else if (!queue.offer(queued)) {
      refuse(queued, Cause.OVERLOADED, "too many records are queued for the log");
    }
    return result;
  }

  private void run() {
    try {
      while (!stopping || !queue.isEmpty()) {
        QueuedRecord queued = queue.poll(100, TimeUnit.MILLISECONDS);
        if (queued != null) {
          appendOrRefuse(queued);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    refuseQueued();
  }

  private void appendOrRefuse(QueuedRecord queued) {
    if (clock.millis() - queued.queuedAtMillis() > MAX_QUEUE_TIME_MILLIS) {
      refuse(queued, Cause.OVERLOADED, "the log accepts records too slowly");
    } else {
      queued.result().complete(append(queued));
    }
  }

  private AppendResult append(QueuedRecord queued) {
    try {
      long offset = log.append(queued.stream(), queued.content());
      metrics.countAppend(name, "appended");
      markAvailable();
      return new Appended(offset);
    } catch (LogUnavailableException e) {
      metrics.countAppend(name, "not-appended");
      markUnavailable(e);
      return new NotAppended(Cause.LOG_UNAVAILABLE, e.getMessage());
    } catch (LogOutcomeUnknownException e) {
      metrics.countAppend(name, "unknown");
      markUnavailable(e);
      return new Unknown(e.getMessage());
    }
  }

  private void refuseQueued() {
    for (QueuedRecord queued = queue.poll(); queued != null; queued = queue.poll()) {
      refuse(queued, Cause.STOPPING, "this instance is stopping");
    }
  }

  private void refuse(QueuedRecord queued, Cause cause, String detail) {
    metrics.countAppend(name, "refused");
    queued.result().complete(new NotAppended(cause, detail));
  }

  private void markAvailable() {
    if (!available) {
      available = true;
      LOG.info("log accepts records of writer {} again", name);
    }
  }

  private void markUnavailable(Exception cause) {
    if (available) {
      available = false;
      LOG.warn("log does not accept records of writer {}: {}", name, cause.getMessage());
    }
  }
}
