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

/** Holds an append-only stream in memory with limits on the age and number of records. */
final class RetainedStream {

  private final String name;
  private final long retentionMillis;
  private final int retentionCount;
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition appended = lock.newCondition();
  private final TreeMap<Long, RetainedRecord> records = new TreeMap<>();
  private long endOffset;

  private record RetainedRecord(byte[] content, long appendedAtMillis) {}

  RetainedStream(String name, long retentionMillis, int retentionCount) {
    this.name = name;
    this.retentionMillis = retentionMillis;
    this.retentionCount = retentionCount;
  }

  long append(byte[] content, long nowMillis) {
    lock.lock();
    try {
      records.put(endOffset, new RetainedRecord(content, nowMillis));
      appended.signalAll();
      removeExpired(nowMillis);
      return endOffset++;
    } finally {
      lock.unlock();
    }
  }

  private void removeExpired(long nowMillis) {
    while (records.size() > retentionCount
        || !records.isEmpty()
            && records.firstEntry().getValue().appendedAtMillis() < nowMillis - retentionMillis) {
      records.pollFirstEntry();
    }
  }

  void expireBefore(long offset) {
    lock.lock();
    try {
      records.headMap(offset).clear();
    } finally {
      lock.unlock();
    }
  }

  LogPage read(long fromOffset, int maxBytes, long waitMillis)
      throws InterruptedException, OffsetExpiredException {
    long remainingNanos = TimeUnit.MILLISECONDS.toNanos(waitMillis);
    lock.lock();
    try {
      while (endOffset <= fromOffset && remainingNanos > 0) {
        remainingNanos = appended.awaitNanos(remainingNanos);
      }
      removeExpired(System.currentTimeMillis());
      long earliestOffset = records.isEmpty() ? endOffset : records.firstKey();
      if (fromOffset < earliestOffset) {
        throw new OffsetExpiredException(name, fromOffset, earliestOffset);
      }
      List<LogEntry> entries = new ArrayList<>();
      long bytes = 0;
      for (Map.Entry<Long, RetainedRecord> entry : records.tailMap(fromOffset).entrySet()) {
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
