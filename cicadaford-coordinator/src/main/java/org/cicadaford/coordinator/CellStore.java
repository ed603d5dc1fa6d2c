package org.cicadaford.coordinator;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cicadaford.cell.RecordWrite;

/**
 * Stores the state of a cell and the announcement of its coordinator.
 *
 * <p>All futures complete on the event loop of the instance, and exceptionally if the store gave no
 * usable answer.
 */
public interface CellStore {

  /**
   * Returns the newest announcement after it changes or the wait ends.
   *
   * @param waitMillis time to wait for another announcement, in milliseconds
   */
  CompletableFuture<Leadership> awaitLeadershipChange(long waitMillis);

  /**
   * Announces a coordinator unless one of a higher epoch has been announced, which fails as {@link
   * AppendOutcome#FENCED}. An announcement that is repeated with the same sequence number takes
   * effect once.
   *
   * @param sequence number of the announcement within its epoch, from 0
   */
  CompletableFuture<AppendOutcome> announceLeadership(Leadership leadership, long sequence);

  /** Returns the end of the journal and the records that follow the end returned last. */
  CompletableFuture<JournalTail> readJournalTail();

  /**
   * Claims the journal for an epoch if it still ends at {@code expectedEnd}. Later appends of lower
   * epochs fail.
   */
  CompletableFuture<AppendOutcome> claimJournal(long epoch, long expectedEnd);

  /**
   * Reads new journal records into a local copy, so that {@link #loadRecords} reads only the
   * remainder. The copy is kept until {@link #discardLocalCopy}.
   */
  CompletableFuture<Void> refreshLocalCopy();

  /** Discards the local copy that {@link #refreshLocalCopy} built. */
  void discardLocalCopy();

  /** Returns the newest record of each key, at least as new as the call. */
  CompletableFuture<List<RecordWrite>> loadRecords();

  /**
   * Appends records atomically. An append that is repeated with the same sequence number takes
   * effect once. After {@link AppendOutcome#REJECTED}, the next append has the same sequence
   * number.
   *
   * @param sequence number of the append within the epoch, from 1
   */
  CompletableFuture<AppendOutcome> append(long epoch, long sequence, List<RecordWrite> records);
}
