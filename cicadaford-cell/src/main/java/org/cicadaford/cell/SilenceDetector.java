package org.cicadaford.cell;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Finds workers that get no task because they, or their availability zone, may be cut off.
 *
 * <p>The load that it answers is a zone that is cut off under full traffic: each task that is
 * started there waits for the end of the worker's lease before it can run elsewhere. One overdue
 * answer excludes a worker; two in one zone exclude all of its workers that have not answered
 * since.
 */
final class SilenceDetector {

  /** Time by which an answer may be overdue, in milliseconds; workers answer within 10 ms. */
  private static final long GRACE_MILLIS = 120;

  /** Silent workers of a zone from which the zone is taken as cut off. */
  private static final int SILENT_WORKERS_OF_ZONE = 2;

  /** Suspects no worker. */
  static final SilenceDetector NONE = new SilenceDetector(List.of(), 0);

  private final Set<Worker> silent = new HashSet<>();
  private final Map<String, Long> silentSinceByZone = new HashMap<>();

  SilenceDetector(Collection<Worker> workers, long nowMillis) {
    Map<String, Integer> countByZone = new HashMap<>();
    Map<String, Long> sinceByZone = new HashMap<>();
    for (Worker worker : workers) {
      OptionalLong since = worker.silentSinceMillis(nowMillis, GRACE_MILLIS);
      if (since.isPresent() && worker.listing() != null) {
        silent.add(worker);
        countByZone.merge(worker.listing().zone(), 1, Integer::sum);
        sinceByZone.merge(worker.listing().zone(), since.getAsLong(), Math::min);
      }
    }
    sinceByZone.forEach(
        (zone, since) -> {
          if (countByZone.get(zone) >= SILENT_WORKERS_OF_ZONE) {
            silentSinceByZone.put(zone, since);
          }
        });
  }

  /** Returns whether a worker gets no task for now. */
  boolean suspects(Worker worker) {
    Long zoneSince = silentSinceByZone.get(worker.listing().zone());
    boolean zoneSilent = zoneSince != null && !worker.answeredAfter(zoneSince - 1);
    return silent.contains(worker) || zoneSilent;
  }
}
