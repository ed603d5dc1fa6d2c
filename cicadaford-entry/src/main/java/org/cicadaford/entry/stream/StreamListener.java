package org.cicadaford.entry.stream;

import org.cicadaford.model.LogRecord;

/**
 * Receives the records and progress of a {@link StreamFollower}, on the follower's thread.
 *
 * @param <R> type of the stream's records
 */
public interface StreamListener<R extends LogRecord> {

  /**
   * Handles a record.
   *
   * @param readAtMillis time at which the page of the record was received
   * @throws InterruptedException if the follower is stopped while the listener blocks on a full
   *     queue
   */
  void onRecord(long offset, R record, long readAtMillis) throws InterruptedException;

  /**
   * Handles the end of a page, after its records.
   *
   * @throws InterruptedException if the follower is stopped while the listener blocks on a full
   *     queue
   */
  void onPage(StreamPosition position) throws InterruptedException;

  /**
   * Handles records that expired before they were read; a state derived from earlier records must
   * be rebuilt from the next snapshot.
   *
   * @throws InterruptedException if the follower is stopped while the listener blocks on a full
   *     queue
   */
  void onRecordsExpired(long earliestOffset) throws InterruptedException;
}
