package org.cicadaford.cli;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.cicadaford.model.ConfigRecord;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.platform.LogEntry;
import org.cicadaford.platform.LogOutcomeUnknownException;
import org.cicadaford.platform.LogPage;
import org.cicadaford.platform.LogService;
import org.cicadaford.platform.LogUnavailableException;
import org.cicadaford.platform.OffsetExpiredException;

/** Simulates a log in memory with faults that tests select. */
public final class FakeLog implements LogService {

  /** Defines the effect of a fault on appends. */
  public enum Fault {
    /** Appends succeed. */
    NONE,
    /** Appends take effect and the answer is lost. */
    ANSWER_LOST,
    /** Appends have no effect and the answer is lost. */
    REQUEST_LOST,
    /** Appends are refused. */
    UNAVAILABLE
  }

  /** Records of the {@code config} stream. */
  public final List<LogEntry> entries = new ArrayList<>();

  /** Fault of the next appends. */
  public Fault fault = Fault.NONE;

  /** Earliest retained offset. */
  public long earliestOffset;

  /** Runs once before the next append, as another operator would. */
  public Runnable beforeAppend = () -> {};

  /** Number of reads that fail from the next append on. */
  public int failedReadsAfterAppend;

  /** Number of next reads that fail. */
  public int failedReads;

  /** Appends a record without any fault and returns its offset. */
  public long add(ConfigRecord record) {
    entries.add(new LogEntry(entries.size(), RecordCodec.encode(record)));
    return entries.size() - 1L;
  }

  /** Returns all bytes ever appended, as text. */
  public String text() {
    StringBuilder text = new StringBuilder();
    entries.forEach(e -> text.append(new String(e.content(), StandardCharsets.ISO_8859_1)));
    return text.toString();
  }

  @Override
  public long append(String stream, byte[] content)
      throws LogUnavailableException, LogOutcomeUnknownException {
    Runnable other = beforeAppend;
    beforeAppend = () -> {};
    other.run();
    failedReads = failedReadsAfterAppend;
    if (fault == Fault.UNAVAILABLE) {
      throw new LogUnavailableException("the log refused the append; append again later", null);
    }
    if (fault != Fault.REQUEST_LOST) {
      entries.add(new LogEntry(entries.size(), content));
    }
    if (fault != Fault.NONE) {
      throw new LogOutcomeUnknownException("no answer; read the stream for the record id", null);
    }
    return entries.size() - 1L;
  }

  @Override
  public LogPage read(String stream, long fromOffset, int maxBytes, long waitMillis)
      throws LogUnavailableException, OffsetExpiredException {
    if (failedReads > 0) {
      failedReads--;
      throw new LogUnavailableException("the log did not answer; read again later", null);
    }
    if (fromOffset < earliestOffset) {
      throw new OffsetExpiredException(stream, fromOffset, earliestOffset);
    }
    int from = (int) Math.min(fromOffset, entries.size());
    int to = Math.min(from + 2, entries.size());
    return new LogPage(entries.subList(from, to), entries.size());
  }
}
