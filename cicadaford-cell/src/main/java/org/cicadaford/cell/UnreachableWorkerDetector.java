package org.cicadaford.cell;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Detects workers that are excluded from placement because they or their availability zone may be
 * unreachable.
 *
 * <p>Designed for a network partition of a zone under full load: each task started there has to
 * wait for the lease of the worker to expire before it can run elsewhere. One overdue answer
 * excludes a worker; two in a zone exclude all its workers that have not answered since.
 */
final class UnreachableWorkerDetector {

  /** Time by which an answer may be overdue, in milliseconds; workers answer within 10 ms. */
  private static final long GRACE_MILLIS = 120;

  /** Number of unresponsive workers from which their zone is considered unreachable. */
  private static final int MIN_UNRESPONSIVE_WORKERS = 2;

  /** Detector that excludes no worker. */
  static final UnreachableWorkerDetector NONE = new UnreachableWorkerDetector(List.of(), 0);

  private final Set<Worker> unresponsive = new HashSet<>();
  private final Map<String, Long> unreachableSinceByZone = new HashMap<>();

  UnreachableWorkerDetector(Collection<Worker> workers, long nowMillis) {
    Map<String, Integer> countByZone = new HashMap<>();
    Map<String, Long> sinceByZone = new HashMap<>();
    for (Worker worker : workers) {
      OptionalLong since = worker.unresponsiveSinceMillis(nowMillis, GRACE_MILLIS);
      if (since.isPresent() && worker.listing() != null) {
        unresponsive.add(worker);
        countByZone.merge(worker.listing().zone(), 1, Integer::sum);
        sinceByZone.merge(worker.listing().zone(), since.getAsLong(), Math::min);
      }
    }
    sinceByZone.forEach(
        (zone, since) -> {
          if (countByZone.get(zone) >= MIN_UNRESPONSIVE_WORKERS) {
            unreachableSinceByZone.put(zone, since);
          }
        });
  }

  /** Returns whether a worker is currently excluded from placement. */
  boolean excludes(Worker worker) {
    Long zoneSince = unreachableSinceByZone.get(worker.listing().zone());
    boolean zoneUnreachable = zoneSince != null && !worker.answeredAfter(zoneSince - 1);
    return unresponsive.contains(worker) || zoneUnreachable;
  }
}
