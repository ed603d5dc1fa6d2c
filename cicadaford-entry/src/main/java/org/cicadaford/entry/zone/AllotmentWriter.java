package org.cicadaford.entry.zone;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.cicadaford.decision.ConfigState;
import org.cicadaford.decision.OwnerDecision.AllotmentChange;
import org.cicadaford.entry.config.ConfigHolder;
import org.cicadaford.entry.config.ConfigView;
import org.cicadaford.entry.metrics.EntryMetrics;
import org.cicadaford.entry.stream.AppendResult;
import org.cicadaford.entry.stream.AppendResult.Appended;
import org.cicadaford.entry.stream.AppendResult.NotAppended;
import org.cicadaford.entry.stream.AppendResult.Unknown;
import org.cicadaford.entry.stream.LogWriter;
import org.cicadaford.model.ConfigRecord;
import org.cicadaford.model.ConfigRecord.AllotmentReleased;
import org.cicadaford.model.ConfigRecord.AllotmentTaken;

/**
 * Appends changes of the zone's allotments to the configuration.
 *
 * <p>New changes are appended only when the configuration shows what became of the earlier ones, so
 * that nothing is taken twice.
 */
final class AllotmentWriter {

  private static final int MAX_CHANGES_AT_ONCE = 64;

  private final ZoneOwnerSettings settings;
  private final LogWriter writer;
  private final EntryMetrics metrics;
  private final List<CompletableFuture<AppendResult>> results = new ArrayList<>();
  private long sequence;
  private long waitForVersion = ConfigState.NO_OFFSET;
  private long waitForConfirmationAfterMillis;

  AllotmentWriter(ZoneOwnerSettings settings, LogWriter writer, EntryMetrics metrics) {
    this.settings = settings;
    this.writer = writer;
    this.metrics = metrics;
  }

  /** Starts the numbers of a new epoch. */
  void reset() {
    results.clear();
    sequence = 0;
    waitForVersion = ConfigState.NO_OFFSET;
    waitForConfirmationAfterMillis = 0;
  }

  /** Appends the changes if all earlier ones are settled in {@code config}. */
  void write(List<AllotmentChange> changes, long epoch, ConfigView config, long nowMillis) {
    collectResults(nowMillis);
    if (changes.isEmpty() || !isSettled(config)) {
      return;
    }
    for (AllotmentChange change :
        changes.subList(0, Math.min(changes.size(), MAX_CHANGES_AT_ONCE))) {
      sequence++;
      results.add(writer.append(ConfigHolder.STREAM, toRecord(change, epoch)));
      metrics.decision(change.millicores() >= 0 ? "allotment-taken" : "allotment-released");
    }
  }

  private void collectResults(long nowMillis) {
    results.removeIf(
        result -> {
          if (result.isDone()) {
            collect(result.join(), nowMillis);
          }
          return result.isDone();
        });
  }

  private void collect(AppendResult result, long nowMillis) {
    switch (result) {
      case Appended appended -> waitForVersion = Math.max(waitForVersion, appended.offset());
      case NotAppended refused -> waitForConfirmationAfterMillis = nowMillis;
      case Unknown unknown -> waitForConfirmationAfterMillis = nowMillis;
    }
  }

  private boolean isSettled(ConfigView config) {
    return results.isEmpty()
        && config.version() >= waitForVersion
        && config.confirmedAtMillis() > waitForConfirmationAfterMillis;
  }

  private ConfigRecord toRecord(AllotmentChange change, long epoch) {
    String recordId = "allotment-" + UUID.randomUUID();
    String zone = settings.zone();
    return change.millicores() >= 0
        ? new AllotmentTaken(recordId, zone, epoch, sequence, change.team(), change.millicores())
        : new AllotmentReleased(
            recordId, zone, epoch, sequence, change.team(), -change.millicores());
  }
}
