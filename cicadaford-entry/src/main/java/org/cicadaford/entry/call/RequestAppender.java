package org.cicadaford.entry.call;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cicadaford.decision.ApplyResult;
import org.cicadaford.decision.RequestLedger.CallEntry;
import org.cicadaford.model.RequestRecord;

/**
 * Appends records to the {@code requests} stream and reads them back.
 *
 * <p>Implementations may batch the records of several calls into one append.
 */
public interface RequestAppender {

  /**
   * Appends a record and completes once it was read back, or exceptionally with {@link
   * RequestAppendException}. After a lost response the record is identified by its id when the
   * stream is read, and is never appended twice. A claim is not appended while the ledger may lack
   * earlier claims of ids that are still accepted.
   */
  CompletableFuture<ReadBack> append(RequestRecord record);

  /** Returns the claimed call of a request id, as far as the stream was read. Thread-safe. */
  Optional<CallEntry> recordedCall(String requestId);

  /**
   * Describes a record that was read back.
   *
   * @param offset offset of the record
   * @param verdict whether the record took effect
   * @param current claimed call of the request id after the record was applied, if any
   */
  record ReadBack(long offset, ApplyResult verdict, Optional<CallEntry> current) {}
}
