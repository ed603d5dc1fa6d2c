package org.cicadaford.entry.support;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cicadaford.model.LogRecord;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.platform.LogEntry;
import org.cicadaford.platform.LogOutcomeUnknownException;
import org.cicadaford.platform.LogPage;
import org.cicadaford.platform.LogService;
import org.cicadaford.platform.LogUnavailableException;
import org.cicadaford.platform.OffsetExpiredException;

/** Keeps streams in memory and simulates outages, lost responses and expired records. */
public final class FakeLog implements LogService {

  private final Map<String, List<byte[]>> streams = new HashMap<>();
  private final Map<String, Long> earliest = new HashMap<>();
  private boolean down;
  private boolean held;
  private int lostAnswers;
  private int appendCalls;

  /** Starts or ends an outage in which every request fails. */
  public synchronized void setDown(boolean newDown) {
    down = newDown;
    notifyAll();
  }

  /** Blocks appends, or releases them. */
  public synchronized void setHeld(boolean newHeld) {
    held = newHeld;
    notifyAll();
  }

  /** Loses the responses of the next appends, which still take effect. */
  public synchronized void loseAnswers(int count) {
    lostAnswers = count;
  }

  /** Expires the records of a stream before {@code offset}. */
  public synchronized void expireBefore(String stream, long offset) {
    earliest.put(stream, offset);
    notifyAll();
  }

  /** Appends a record without simulated faults and returns its offset. */
  public synchronized long put(String stream, LogRecord record) {
    return store(stream, RecordCodec.encode(record));
  }

  /** Appends bytes without simulated faults. */
  public synchronized void putBytes(String stream, byte[] content) {
    store(stream, content);
  }

  /** Returns the number of append requests, failed ones included. */
  public synchronized int appendCalls() {
    return appendCalls;
  }

  /** Returns all records of a stream. */
  public synchronized <R extends LogRecord> List<R> records(String stream, Class<R> type) {
    try {
      List<R> records = new ArrayList<>();
      for (byte[] content : streams.getOrDefault(stream, List.of())) {
        records.add(RecordCodec.decode(content, type));
      }
      return records;
    } catch (MalformedRecordException e) {
      throw new IllegalStateException(e);
    }
  }

  private long store(String stream, byte[] content) {
    List<byte[]> records = streams.computeIfAbsent(stream, name -> new ArrayList<>());
    records.add(content);
    notifyAll();
    return records.size() - 1L;
  }

  @Override
  public synchronized long append(String stream, byte[] content)
      throws LogUnavailableException, LogOutcomeUnknownException {
    appendCalls++;
    while (held) {
      awaitChange();
    }
    if (down) {
      throw new LogUnavailableException("down", null);
    }
    long offset = store(stream, content);
    if (lostAnswers > 0) {
      lostAnswers--;
      throw new LogOutcomeUnknownException("lost", null);
    }
    return offset;
  }

  @Override
  public synchronized LogPage read(String stream, long fromOffset, int maxBytes, long waitMillis)
      throws LogUnavailableException, OffsetExpiredException {
    if (!down && size(stream) <= fromOffset) {
      try {
        wait(waitMillis);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    if (down) {
      throw new LogUnavailableException("down", null);
    }
    long first = earliest.getOrDefault(stream, 0L);
    if (fromOffset < first) {
      throw new OffsetExpiredException(stream, fromOffset, first);
    }
    List<LogEntry> entries = new ArrayList<>();
    for (long offset = fromOffset; offset < size(stream) && entries.size() < 3; offset++) {
      entries.add(new LogEntry(offset, streams.get(stream).get((int) offset)));
    }
    return new LogPage(entries, size(stream));
  }

  private long size(String stream) {
    return streams.getOrDefault(stream, List.of()).size();
  }

  private void awaitChange() {
    try {
      wait();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
