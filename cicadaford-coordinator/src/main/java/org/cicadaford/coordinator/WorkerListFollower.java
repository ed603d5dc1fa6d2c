package org.cicadaford.coordinator;

import java.util.List;
import java.util.function.Supplier;
import org.cicadaford.cell.ClockReading;
import org.cicadaford.cell.ListedWorker;

/** Reads the worker list at an interval, whatever became of earlier reads. */
final class WorkerListFollower {

  /** Applies listings. */
  interface ListConsumer {

    /** Applies a listing that was requested at a time. */
    void apply(List<ListedWorker> workers, ClockReading requestedAt, ClockReading now);
  }

  /** Interval between reads of the worker list, in milliseconds. */
  private static final long INTERVAL_MILLIS = 300;

  private final CellDirectory directory;
  private final Supplier<ClockReading> clock;
  private final ListConsumer onListed;
  private final DependencyStatus application;
  private ClockReading readEndedAt;
  private boolean pending;

  /** Creates the follower; {@code onListed} applies each listing. */
  WorkerListFollower(
      CellDirectory directory,
      Supplier<ClockReading> clock,
      CellMetrics metrics,
      ListConsumer onListed) {
    this.directory = directory;
    this.clock = clock;
    this.onListed = onListed;
    this.application =
        new DependencyStatus("use of the worker list", "a listing was not applied", metrics);
  }

  /** Reads the list if the interval is over and no read is pending. */
  void readIfDue(ClockReading now) {
    // A list from before a suspension, which only the Unix time counts, is replaced at once.
    boolean recent = readEndedAt != null && now.millisSince(readEndedAt) < INTERVAL_MILLIS;
    if (pending || recent) {
      return;
    }
    pending = true;
    Futures.call(directory::listWorkers)
        .handle(
            (workers, failure) -> {
              pending = false;
              readEndedAt = clock.get();
              // After a failure the current list stays in force; ObservedDirectory reports it.
              if (failure == null) {
                apply(workers, now);
              }
              return null;
            });
  }

  /**
   * Applies a listing. A failure does not end the coordinator: its successors would read the same
   * listing, so that the cell had none.
   */
  private void apply(List<ListedWorker> workers, ClockReading requestedAt) {
    try {
      onListed.apply(workers, requestedAt, readEndedAt);
      application.record(null);
    } catch (RuntimeException | StackOverflowError e) {
      application.record(e);
    }
  }
}
