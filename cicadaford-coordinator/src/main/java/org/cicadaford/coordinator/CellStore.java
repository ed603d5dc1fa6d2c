package org.cicadaford.coordinator;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cicadaford.cell.RecordWrite;

/**
 * Keeps the state of a cell and the announcement of its coordinator.
 *
 * <p>All futures complete on the event loop of the instance. A future that completes exceptionally
 * says that the store gave no usable answer.
 */
public interface CellStore {

  /**
   * Returns the newest announcement, once it differs from the last one returned or the time is up.
   *
   * @param waitMillis time to wait for another announcement, in milliseconds
   */
  CompletableFuture<Leadership> awaitLeadershipChange(long waitMillis);

  /** Announces a coordinator; a newer announcement stays in force. */
  CompletableFuture<Void> announceLeadership(Leadership leadership);

  /** Returns the position at which the journal ends. */
  CompletableFuture<Long> readJournalEnd();

  /**
   * Claims the journal for an epoch, if it still ends at {@code expectedEnd}; appends of lower
   * epochs fail from then on.
   */
  CompletableFuture<AppendOutcome> claimJournal(long epoch, long expectedEnd);

  /**
   * Reads what the journal has gained, so that {@link #loadRecords} has only its end to read. The
   * copy is kept until {@link #discardLocalCopy}.
   */
  CompletableFuture<Void> refreshLocalCopy();

  /** Drops the copy of the journal that {@link #refreshLocalCopy} has made. */
  void discardLocalCopy();

  /** Returns the newest record of each key, at least as new as the call. */
  CompletableFuture<List<RecordWrite>> loadRecords();

  /**
   * Appends records, all or none. An append that is repeated with the same sequence number takes
   * effect once.
   *
   * @param sequence number of the append within the epoch, from 1
   */
  CompletableFuture<AppendOutcome> append(long epoch, long sequence, List<RecordWrite> records);
}
