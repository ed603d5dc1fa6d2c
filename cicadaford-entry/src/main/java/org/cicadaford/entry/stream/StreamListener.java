package org.cicadaford.entry.stream;

import org.cicadaford.model.LogRecord;

/**
 * Receives what a {@link StreamFollower} reads, on the follower's thread.
 *
 * @param <R> type of the stream's records
 */
public interface StreamListener<R extends LogRecord> {

  /**
   * Takes in a record.
   *
   * @param readAtMillis time at which its page was received
   * @throws InterruptedException if the follower is stopped while the listener waits for room
   */
  void onRecord(long offset, R record, long readAtMillis) throws InterruptedException;

  /**
   * Takes in that a page was read, after its records.
   *
   * @throws InterruptedException if the follower is stopped while the listener waits for room
   */
  void onPage(StreamPosition position) throws InterruptedException;

  /**
   * Takes in that records expired before they were read, so that a state folded from the earlier
   * ones is to be rebuilt from the next snapshot.
   *
   * @throws InterruptedException if the follower is stopped while the listener waits for room
   */
  void onGap(long earliestOffset) throws InterruptedException;
}
