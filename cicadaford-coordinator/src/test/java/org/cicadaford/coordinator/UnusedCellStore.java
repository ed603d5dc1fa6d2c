package org.cicadaford.coordinator;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cicadaford.cell.RecordWrite;

/** A store whose calls all fail; tests override the ones that they need. */
class UnusedCellStore implements CellStore {

  private static <T> CompletableFuture<T> unused() {
    return CompletableFuture.failedFuture(new IllegalStateException("not used in this test"));
  }

  @Override
  public CompletableFuture<Leadership> awaitLeadershipChange(long waitMillis) {
    return unused();
  }

  @Override
  public CompletableFuture<Void> announceLeadership(Leadership leadership) {
    return unused();
  }

  @Override
  public CompletableFuture<Long> readJournalEnd() {
    return unused();
  }

  @Override
  public CompletableFuture<AppendOutcome> claimJournal(long epoch, long expectedEnd) {
    return unused();
  }

  @Override
  public CompletableFuture<Void> refreshLocalCopy() {
    return unused();
  }

  @Override
  public void discardLocalCopy() {
    // Nothing is kept.
  }

  @Override
  public CompletableFuture<List<RecordWrite>> loadRecords() {
    return unused();
  }

  @Override
  public CompletableFuture<AppendOutcome> append(
      long epoch, long sequence, List<RecordWrite> records) {
    return unused();
  }
}
