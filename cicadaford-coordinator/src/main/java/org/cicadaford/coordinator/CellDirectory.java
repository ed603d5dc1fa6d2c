package org.cicadaford.coordinator;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.cicadaford.cell.CellConfig;
import org.cicadaford.cell.ListedWorker;

/** Reads the records that operators and workers publish. Futures complete on the event loop. */
public interface CellDirectory {

  /** Holds the newest configuration and the availability zones that are out of service. */
  record PublishedConfig(CellConfig config, Set<String> zonesOut) {}

  /**
   * Returns the published configuration after it changes or the wait ends. The result is at least
   * as new as the call.
   */
  CompletableFuture<PublishedConfig> awaitConfigChange(long waitMillis);

  /** Returns the currently registered workers. */
  CompletableFuture<List<ListedWorker>> listWorkers();
}
