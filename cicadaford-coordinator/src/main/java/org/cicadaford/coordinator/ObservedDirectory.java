package org.cicadaford.coordinator;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cicadaford.cell.ListedWorker;

/**
 * Reports in the log and the metrics whether the worker list of a directory can be read.
 *
 * <p>The coordinator and the standby of a process share it, so that a change of state is reported
 * once.
 */
final class ObservedDirectory implements CellDirectory {

  private final CellDirectory directory;
  private final DependencyStatus workerList;

  ObservedDirectory(CellDirectory directory, CellMetrics metrics) {
    this.directory = directory;
    this.workerList = new DependencyStatus("worker list", "the last one stays in force", metrics);
  }

  @Override
  public CompletableFuture<PublishedConfig> awaitConfigChange(long waitMillis) {
    // ConfigFollower reports its failures.
    return directory.awaitConfigChange(waitMillis);
  }

  @Override
  public CompletableFuture<List<ListedWorker>> listWorkers() {
    return Futures.call(directory::listWorkers)
        .whenComplete((workers, failure) -> workerList.record(failure));
  }
}
