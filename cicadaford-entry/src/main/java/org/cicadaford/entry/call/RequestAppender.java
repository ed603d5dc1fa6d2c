package org.cicadaford.entry.call;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cicadaford.decision.ApplyResult;
import org.cicadaford.decision.RequestLedger.CallEntry;
import org.cicadaford.model.RequestRecord;

/**
 * Appends records to the {@code requests} stream and reads them back.
 *
 * <p>An implementation may group the records of several calls into one append.
 */
public interface RequestAppender {

  /**
   * Appends a record and completes once it was read back, or exceptionally with {@link
   * RequestAppendException}. After a lost answer the implementation looks for the record by its id
   * and never appends it a second time. A claim is not appended while the ledger may lack an
   * earlier claim of an id that is still accepted.
   */
  CompletableFuture<ReadBack> append(RequestRecord record);

  /** Returns the claimed call of a request id as far as the stream was read; for any thread. */
  Optional<CallEntry> recordedCall(String requestId);

  /**
   * A record as read back.
   *
   * @param offset its offset
   * @param verdict whether it took effect
   * @param current the claimed call of the request id behind the record, if there is one
   */
  record ReadBack(long offset, ApplyResult verdict, Optional<CallEntry> current) {}
}
