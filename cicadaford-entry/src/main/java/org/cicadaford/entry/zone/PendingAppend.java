package org.cicadaford.entry.zone;

import java.util.concurrent.CompletableFuture;
import org.cicadaford.entry.stream.AppendResult;
import org.cicadaford.entry.stream.AppendResult.Appended;
import org.cicadaford.entry.stream.AppendResult.NotAppended;
import org.cicadaford.entry.stream.AppendResult.Unknown;
import org.cicadaford.entry.stream.StreamPosition;

/** Tracks the append of one record until the record is read back or given up. */
final class PendingAppend {

  /** State of the append. */
  enum Outcome {
    /** No append is pending. */
    NONE,
    /** The append is pending, or the record was not read back yet. */
    WAITING,
    /** The record was not appended, or its response was lost and it is not in the stream. */
    GIVEN_UP
  }

  private String recordId = "";
  private CompletableFuture<AppendResult> result;
  private long outcomeUnknownSinceMillis;

  /** Starts to track an append. */
  void begin(String newRecordId, CompletableFuture<AppendResult> newResult) {
    recordId = newRecordId;
    result = newResult;
    outcomeUnknownSinceMillis = 0;
  }

  /** Stops tracking the append. */
  void clear() {
    recordId = "";
    result = null;
  }

  boolean isWaiting() {
    return result != null;
  }

  /** Handles a record that was read, and returns whether it is the tracked one. */
  boolean onRecordRead(String readRecordId) {
    boolean isTracked = result != null && recordId.equals(readRecordId);
    if (isTracked) {
      clear();
    }
    return isTracked;
  }

  /**
   * Returns the state of the append. After a lost response the record is given up once the log
   * confirms the end of the stream without it; if it is appended even later, its sequence number
   * keeps it from taking effect.
   */
  Outcome checkOutcome(StreamPosition lastEndPosition, long nowMillis) {
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
          case Unknown unknown -> isAbsent(lastEndPosition, nowMillis);
        };
    if (givenUp) {
      clear();
      return Outcome.GIVEN_UP;
    }
    return Outcome.WAITING;
  }

  private boolean isAbsent(StreamPosition lastEndPosition, long nowMillis) {
    if (outcomeUnknownSinceMillis == 0) {
      outcomeUnknownSinceMillis = nowMillis;
    }
    return lastEndPosition.atEnd()
        && lastEndPosition.requestedAtMillis() > outcomeUnknownSinceMillis;
  }
}
