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
  public CompletableFuture<Leadership> leadership(long waitMillis) {
    return unused();
  }

  @Override
  public CompletableFuture<Void> announce(Leadership leadership) {
    return unused();
  }

  @Override
  public CompletableFuture<Long> journalEnd() {
    return unused();
  }

  @Override
  public CompletableFuture<AppendOutcome> claim(long epoch, long expectedEnd) {
    return unused();
  }

  @Override
  public CompletableFuture<Void> follow() {
    return unused();
  }

  @Override
  public void forget() {
    // Nothing is kept.
  }

  @Override
  public CompletableFuture<List<RecordWrite>> load() {
    return unused();
  }

  @Override
  public CompletableFuture<AppendOutcome> append(
      long epoch, long sequence, List<RecordWrite> records) {
    return unused();
  }
}
