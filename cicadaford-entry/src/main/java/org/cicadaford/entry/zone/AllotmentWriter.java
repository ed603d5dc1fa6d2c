package org.cicadaford.entry.zone;

import java.util.List;
import java.util.UUID;
import org.cicadaford.decision.OwnerDecision.AllotmentChange;
import org.cicadaford.entry.config.ConfigStore;
import org.cicadaford.entry.metrics.EntryMetrics;
import org.cicadaford.entry.stream.LogWriter;

/**
 * Appends the changes of the zone's allotments to the configuration stream.
 *
 * <p>The changes carry sequence numbers, so lost or late ones need no handling here: a change has
 * no effect once a later number is in the configuration.
 */
final class AllotmentWriter {

  private final String zone;
  private final LogWriter writer;
  private final EntryMetrics metrics;

  AllotmentWriter(String zone, LogWriter writer, EntryMetrics metrics) {
    this.zone = zone;
    this.writer = writer;
    this.metrics = metrics;
  }

  /** Appends the changes in the order of their sequence numbers. */
  void write(List<AllotmentChange> changes, long epoch) {
    for (AllotmentChange change : changes) {
      String recordId = "allotment-" + UUID.randomUUID();
      writer.append(ConfigStore.STREAM, change.toRecord(recordId, zone, epoch));
      metrics.countDecision(change.millicores() >= 0 ? "allotment-taken" : "allotment-released");
    }
  }
}
