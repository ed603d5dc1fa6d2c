package org.cicadaford.coordinator.process;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Writes each log record as one line of JSON, through a bounded buffer and a dedicated thread.
 *
 * <p>The logging thread never blocks: records that do not fit into the buffer are counted and
 * dropped. Buffered records are written together to save system calls.
 */
final class JsonLogHandler extends Handler {

  /** Maximum wait for buffered records and the writer thread, in milliseconds. */
  private static final long CLOSE_TIMEOUT_MILLIS = 200;

  private final BlockingQueue<LogRecord> buffer;
  private final OutputStream output;
  private final AtomicLong dropped = new AtomicLong();
  private final Thread writer = new Thread(this::writeAll, "log");
  private long reportedDroppedCount;
  private volatile boolean closed;

  /** Creates the handler; at most {@code capacity} records are buffered. */
  JsonLogHandler(OutputStream output, int capacity) {
    this.output = output;
    this.buffer = new ArrayBlockingQueue<>(capacity);
    writer.setDaemon(true);
  }

  /** Starts the writer thread. */
  void start() {
    writer.start();
  }

  @Override
  public void publish(LogRecord line) {
    if (closed || !buffer.offer(line)) {
      dropped.incrementAndGet();
    }
  }

  private void writeAll() {
    List<LogRecord> waiting = new ArrayList<>();
    try {
      while (!closed || !buffer.isEmpty()) {
        LogRecord first = buffer.poll(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        if (first != null) {
          waiting.add(first);
          buffer.drainTo(waiting);
          write(waiting);
          waiting.clear();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void write(List<LogRecord> lines) {
    StringBuilder text = new StringBuilder();
    lines.forEach(line -> append(text, line));
    long droppedCount = dropped.get();
    if (droppedCount > reportedDroppedCount) {
      reportedDroppedCount = droppedCount;
      append(text, new LogRecord(Level.WARNING, droppedCount + " log lines were dropped so far"));
    }
    try {
      output.write(text.toString().getBytes(StandardCharsets.UTF_8));
      output.flush();
    } catch (IOException e) {
      // The loss cannot be reported elsewhere; the next successful write reports the count.
      dropped.addAndGet(lines.size());
    }
  }

  private static void append(StringBuilder text, LogRecord line) {
    text.append("{\"time\":\"").append(line.getInstant()).append("\",\"level\":\"");
    text.append(levelName(line.getLevel())).append("\",\"logger\":\"");
    quote(text, line.getLoggerName());
    text.append("\",\"message\":\"");
    quote(text, line.getMessage());
    if (line.getThrown() != null) {
      StringWriter stackTrace = new StringWriter();
      line.getThrown().printStackTrace(new PrintWriter(stackTrace));
      text.append("\",\"exception\":\"");
      quote(text, stackTrace.toString());
    }
    text.append("\"}\n");
  }

  /** Returns the Log4j name of a level. */
  private static String levelName(Level level) {
    if (level.intValue() >= Level.SEVERE.intValue()) {
      return "ERROR";
    }
    return level.intValue() >= Level.WARNING.intValue() ? "WARN" : level.getName();
  }

  private static void quote(StringBuilder text, String value) {
    JsonStringEncoder.getInstance().quoteAsString(String.valueOf(value), text);
  }

  @Override
  public void flush() {
    // Each write is flushed.
  }

  @Override
  public void close() {
    closed = true;
    try {
      writer.join(2 * CLOSE_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
