package org.cicadaford.coordinator;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cicadaford.cell.ClockReading;
import org.cicadaford.cell.ElapsedTime;
import org.cicadaford.cell.ListedWorker;

/** Reads the worker list at an interval, whatever became of earlier reads. */
final class WorkerListFollower {

  /** Interval between reads of the worker list, in milliseconds. */
  private static final long INTERVAL_MILLIS = 300;

  private final CellDirectory directory;
  private final Supplier<ClockReading> clock;
  private final Consumer<List<ListedWorker>> onListed;
  private final DependencyStatus application;
  private OptionalLong nextReadMillis = OptionalLong.empty();
  private boolean pending;

  /** Creates the follower; {@code onListed} applies each listing. */
  WorkerListFollower(
      CellDirectory directory,
      Supplier<ClockReading> clock,
      CellMetrics metrics,
      Consumer<List<ListedWorker>> onListed) {
    this.directory = directory;
    this.clock = clock;
    this.onListed = onListed;
    this.application =
        new DependencyStatus("use of the worker list", "a listing was not applied", metrics);
  }

  /** Reads the list if the interval is over and no read is pending. */
  void readIfDue(ClockReading now) {
    if (pending || ElapsedTime.isFuture(nextReadMillis, now.monotonicMillis())) {
      return;
    }
    pending = true;
    Futures.call(directory::listWorkers)
        .handle(
            (workers, failure) -> {
              pending = false;
              nextReadMillis = OptionalLong.of(clock.get().monotonicMillis() + INTERVAL_MILLIS);
              // After a failure the current list stays in force; ObservedDirectory reports it.
              if (failure == null) {
                apply(workers);
              }
              return null;
            });
  }

  /**
   * Applies a listing. A failure does not end the coordinator: its successors would read the same
   * listing, so that the cell had none.
   */
  private void apply(List<ListedWorker> workers) {
    try {
      onListed.accept(workers);
      application.record(null);
    } catch (RuntimeException | StackOverflowError e) {
      application.record(e);
    }
  }
}
