package org.cicadaford.cell;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the token offsets of removed workers that have restarted under their ids, since they
 * have seen these offsets and may be listed again.
 *
 * <p>A cell replaces up to 1,400 workers a day, and a coordinator may run for weeks. Designed for
 * 10,000 removed workers, which take about 1 MB; of more, the earliest ones are forgotten. One of
 * those refuses orders only if its process has run since before its removal.
 */
final class RemovedWorkerTokens {

  static final int MAX_COUNT = 10_000;

  private final Map<String, Integer> offsetById = new LinkedHashMap<>();

  /** Remembers the offset of a worker that is removed, unless it is 0. */
  void remember(String workerId, int offset) {
    offsetById.remove(workerId);
    if (offset > 0) {
      offsetById.put(workerId, offset);
    }
    if (offsetById.size() > MAX_COUNT) {
      offsetById.remove(offsetById.keySet().iterator().next());
    }
  }

  /** Returns the offset that a worker has seen, or 0 if it is not remembered. */
  int offsetOf(String workerId) {
    return offsetById.getOrDefault(workerId, 0);
  }
}
