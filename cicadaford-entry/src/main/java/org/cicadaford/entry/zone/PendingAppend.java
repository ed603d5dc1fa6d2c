package org.cicadaford.entry.zone;

import java.util.concurrent.CompletableFuture;
import org.cicadaford.entry.stream.AppendResult;
import org.cicadaford.entry.stream.AppendResult.Appended;
import org.cicadaford.entry.stream.AppendResult.NotAppended;
import org.cicadaford.entry.stream.AppendResult.Unknown;
import org.cicadaford.entry.stream.StreamPosition;

/** One record on its way through the log, until it is read back or given up. */
final class PendingAppend {

  /** What became of the record so far. */
  enum Outcome {
    /** Nothing is under way. */
    NONE,
    /** The record is under way or not read back yet. */
    WAITING,
    /** The record was not appended, or is not in the stream although its answer was lost. */
    GIVEN_UP
  }

  private String recordId = "";
  private CompletableFuture<AppendResult> result;
  private long outcomeUnknownSinceMillis;

  /** Starts to wait for a record. */
  void begin(String newRecordId, CompletableFuture<AppendResult> newResult) {
    recordId = newRecordId;
    result = newResult;
    outcomeUnknownSinceMillis = 0;
  }

  /** Forgets the record. */
  void clear() {
    recordId = "";
    result = null;
  }

  boolean isWaiting() {
    return result != null;
  }

  /** Takes in a record that was read, and returns whether it is the awaited one. */
  boolean onRecordRead(String readRecordId) {
    boolean own = result != null && recordId.equals(readRecordId);
    if (own) {
      clear();
    }
    return own;
  }

  /**
   * Returns what became of the record. After a lost answer it is given up once the log confirms the
   * end of the stream without it; if it turns up later all the same, its sequence number makes it
   * have no effect.
   */
  Outcome checkOutcome(StreamPosition lastEnd, long nowMillis) {
    if (result == null) {
      return Outcome.NONE;
    }
    if (!result.isDone()) {
      return Outcome.WAITING;
    }
    boolean givenUp =
        switch (result.join()) {
          case NotAppended refused -> true;
          case Appended appended -> false;
          case Unknown unknown -> isAbsent(lastEnd, nowMillis);
        };
    if (givenUp) {
      clear();
      return Outcome.GIVEN_UP;
    }
    return Outcome.WAITING;
  }

  private boolean isAbsent(StreamPosition lastEnd, long nowMillis) {
    if (outcomeUnknownSinceMillis == 0) {
      outcomeUnknownSinceMillis = nowMillis;
    }
    return lastEnd.atEnd() && lastEnd.requestedAtMillis() > outcomeUnknownSinceMillis;
  }
}
