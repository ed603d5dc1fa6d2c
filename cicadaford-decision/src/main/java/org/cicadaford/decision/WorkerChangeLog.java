package org.cicadaford.decision;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Records the order in which workers last changed, so that a reader can process only changed
 * workers.
 */
final class WorkerChangeLog {

  /** Removed workers that are retained for readers that lag behind. */
  private static final int REMOVED_WORKERS_RETAINED = 256;

  private final LinkedHashMap<String, Long> revisionByWorker = new LinkedHashMap<>();
  private long revision;

  /** Records that a worker was added, changed or removed. */
  void recordChange(String workerId) {
    revision++;
    revisionByWorker.putLast(workerId, revision);
  }

  /** Drops the oldest removed workers once there are many. */
  void prune(int presentCount, Predicate<String> isPresent) {
    if (revisionByWorker.size() > 2 * (presentCount + REMOVED_WORKERS_RETAINED)) {
      long keptFrom = revision - REMOVED_WORKERS_RETAINED;
      revisionByWorker
          .entrySet()
          .removeIf(entry -> entry.getValue() < keptFrom && !isPresent.test(entry.getKey()));
    }
  }

  /** Returns the revision of the last change. */
  long revision() {
    return revision;
  }

  /** Returns the workers that changed after revision {@code since}, most recent first. */
  List<String> changedSince(long since) {
    return revisionByWorker.sequencedEntrySet().reversed().stream()
        .takeWhile(entry -> entry.getValue() > since)
        .map(Map.Entry::getKey)
        .toList();
  }
}
