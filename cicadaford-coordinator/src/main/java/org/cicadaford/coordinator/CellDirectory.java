package org.cicadaford.coordinator;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.cicadaford.cell.CellConfig;
import org.cicadaford.cell.ListedWorker;

/** Reads what operators and workers publish; futures complete on the event loop. */
public interface CellDirectory {

  /** The newest configuration and the availability zones that are out of service. */
  record PublishedConfig(CellConfig config, Set<String> zonesOut) {}

  /**
   * Returns what operators have published, once it has changed or the time is up. The answer is
   * complete as of the call.
   */
  CompletableFuture<PublishedConfig> awaitConfigChange(long waitMillis);

  /** Returns the workers that are listed now. */
  CompletableFuture<List<ListedWorker>> listWorkers();
}
