package org.cicadaford.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.cicadaford.platform.LogEntry;
import org.cicadaford.platform.LogPage;
import org.cicadaford.platform.OffsetExpiredException;

/** Append-only stream in memory that keeps its records for a bounded time and number. */
final class RetainedStream {

  private final String name;
  private final long retentionMillis;
  private final int retentionCount;
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition appended = lock.newCondition();
  private final TreeMap<Long, Kept> kept = new TreeMap<>();
  private long endOffset;

  private record Kept(byte[] content, long appendedAtMillis) {}

  RetainedStream(String name, long retentionMillis, int retentionCount) {
    this.name = name;
    this.retentionMillis = retentionMillis;
    this.retentionCount = retentionCount;
  }

  long append(byte[] content, long nowMillis) {
    lock.lock();
    try {
      kept.put(endOffset, new Kept(content, nowMillis));
      appended.signalAll();
      expire(nowMillis);
      return endOffset++;
    } finally {
      lock.unlock();
    }
  }

  private void expire(long nowMillis) {
    while (kept.size() > retentionCount
        || !kept.isEmpty()
            && kept.firstEntry().getValue().appendedAtMillis() < nowMillis - retentionMillis) {
      kept.pollFirstEntry();
    }
  }

  void expireBefore(long offset) {
    lock.lock();
    try {
      kept.headMap(offset).clear();
    } finally {
      lock.unlock();
    }
  }

  LogPage read(long fromOffset, int maxBytes, long waitMillis)
      throws InterruptedException, OffsetExpiredException {
    long leftNanos = TimeUnit.MILLISECONDS.toNanos(waitMillis);
    lock.lock();
    try {
      while (endOffset <= fromOffset && leftNanos > 0) {
        leftNanos = appended.awaitNanos(leftNanos);
      }
      expire(System.currentTimeMillis());
      long earliest = kept.isEmpty() ? endOffset : kept.firstKey();
      if (fromOffset < earliest) {
        throw new OffsetExpiredException(name, fromOffset, earliest);
      }
      List<LogEntry> entries = new ArrayList<>();
      long bytes = 0;
      for (Map.Entry<Long, Kept> entry : kept.tailMap(fromOffset).entrySet()) {
        bytes += entry.getValue().content().length;
        if (!entries.isEmpty() && bytes > maxBytes) {
          break;
        }
        entries.add(new LogEntry(entry.getKey(), entry.getValue().content()));
      }
      return new LogPage(entries, endOffset);
    } finally {
      lock.unlock();
    }
  }
}
