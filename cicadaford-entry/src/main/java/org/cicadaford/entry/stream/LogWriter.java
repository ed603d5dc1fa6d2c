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

/** Appends records to the log one after the other, in the order in which they were handed in. */
public final class LogWriter {

  /** Records that may wait; at a few hundred appends per second this is about one second. */
  public static final int RING_SIZE = 512;

  private static final Logger LOG = LogManager.getLogger(LogWriter.class);

  /**
   * Time after which a record that was not sent yet is given up, in milliseconds. While the log is
   * slow this refuses callers early instead of close to their deadline.
   */
  private static final long MAX_WAIT_MILLIS = 1_000;

  private final String name;
  private final LogService log;
  private final InstantSource clock;
  private final EntryMetrics metrics;
  private final MpscBlockingConsumerArrayQueue<Waiting> ring;
  private final Thread thread;
  private volatile boolean stopping;
  private boolean answering = true;

  private record Waiting(
      String stream,
      byte[] content,
      long handedInAtMillis,
      CompletableFuture<AppendResult> result) {}

  /** Creates a writer that is not started. */
  public LogWriter(
      String name, LogService log, int ringSize, InstantSource clock, EntryMetrics metrics) {
    this.name = name;
    this.log = log;
    this.clock = clock;
    this.metrics = metrics;
    this.ring = new MpscBlockingConsumerArrayQueue<>(ringSize);
    this.thread = new Thread(this::run, "write-" + name);
  }

  /** Starts the writer's thread. */
  public void start() {
    thread.start();
  }

  /** Refuses further records, appends those that wait, and waits for the thread to end. */
  public void stop() throws InterruptedException {
    stopping = true;
    thread.join(10_000);
    refuseWaiting();
  }

  /** Hands in a record; the result completes on the writer's thread, or at once if refused. */
  public CompletableFuture<AppendResult> append(String stream, LogRecord record) {
    CompletableFuture<AppendResult> result = new CompletableFuture<>();
    Waiting waiting = new Waiting(stream, RecordCodec.encode(record), clock.millis(), result);
    if (stopping) {
      refuse(waiting, Cause.STOPPING, "this instance is stopping");
    } else if (!ring.offer(waiting)) {
      refuse(waiting, Cause.OVERLOADED, "too many records wait to be appended");
    }
    return result;
  }

  private void run() {
    try {
      while (!stopping || !ring.isEmpty()) {
        Waiting waiting = ring.poll(100, TimeUnit.MILLISECONDS);
        if (waiting != null) {
          appendOrGiveUp(waiting);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    refuseWaiting();
  }

  private void appendOrGiveUp(Waiting waiting) {
    if (clock.millis() - waiting.handedInAtMillis() > MAX_WAIT_MILLIS) {
      refuse(waiting, Cause.OVERLOADED, "the log takes records too slowly");
    } else {
      waiting.result().complete(append(waiting));
    }
  }

  private AppendResult append(Waiting waiting) {
    try {
      long offset = log.append(waiting.stream(), waiting.content());
      metrics.countAppend(name, "appended");
      markAnswering();
      return new Appended(offset);
    } catch (LogUnavailableException e) {
      metrics.countAppend(name, "not-appended");
      markSilent(e);
      return new NotAppended(Cause.LOG_UNAVAILABLE, e.getMessage());
    } catch (LogOutcomeUnknownException e) {
      metrics.countAppend(name, "unknown");
      markSilent(e);
      return new Unknown(e.getMessage());
    }
  }

  private void refuseWaiting() {
    for (Waiting waiting = ring.poll(); waiting != null; waiting = ring.poll()) {
      refuse(waiting, Cause.STOPPING, "this instance is stopping");
    }
  }

  private void refuse(Waiting waiting, Cause cause, String detail) {
    metrics.countAppend(name, "refused");
    waiting.result().complete(new NotAppended(cause, detail));
  }

  private void markAnswering() {
    if (!answering) {
      answering = true;
      LOG.info("log takes records of writer {} again", name);
    }
  }

  private void markSilent(Exception cause) {
    if (answering) {
      answering = false;
      LOG.warn("log does not take records of writer {}: {}", name, cause.getMessage());
    }
  }
}
