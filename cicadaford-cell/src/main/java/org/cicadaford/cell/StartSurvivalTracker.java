package org.cicadaford.cell;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

/** Tracks whether a worker survives the starts of its runs, and which of them are isolated. */
final class StartSurvivalTracker {

  private final Set<Placement> isolated = new LinkedHashSet<>();
  private OptionalLong lastSignOfLifeMillis = OptionalLong.empty();
  private OptionalLong brokeOffAtMillis = OptionalLong.empty();
  private OptionalLong disconnectedAtMillis = OptionalLong.empty();

  /**
   * Records that the current incarnation of the worker was alive at a time. Of an answer this is
   * the time of its request, because the worker may have crashed while the answer was in transit.
   */
  void signOfLife(long atMillis) {
    lastSignOfLifeMillis = ElapsedTime.latest(lastSignOfLifeMillis, atMillis);
    // An answer to an earlier request may arrive after the connections have closed.
    if (disconnectedAtMillis.isPresent() && atMillis >= disconnectedAtMillis.getAsLong()) {
      disconnectedAtMillis = OptionalLong.empty();
    }
  }

  /**
   * Records that a delayed answer was broken off, mostly by a crash just before. A slow relay may
   * as well report a connection that the worker refused long after its crash.
   */
  void brokeOff(long nowMillis) {
    brokeOffAtMillis = ElapsedTime.latest(brokeOffAtMillis, nowMillis);
    disconnectedAtMillis = OptionalLong.empty();
  }

  /** Records that the worker has closed or refused a connection. */
  void disconnected(long nowMillis) {
    if (disconnectedAtMillis.isEmpty()) {
      disconnectedAtMillis = OptionalLong.of(nowMillis);
    }
  }

  /** Returns when the worker closed or refused a connection first since its last answer. */
  OptionalLong disconnectedAtMillis() {
    return disconnectedAtMillis;
  }

  /** Returns whether the worker closed its connections right after the start of a run. */
  boolean closedAfterStartOf(Placement placement) {
    // A worker that broke off a renewal later than that was more probably lost for another reason.
    return placement.startedJustBefore(disconnectedAtMillis)
        && !placement.survivedStart(brokeOffAtMillis);
  }

  /** Returns whether the worker was alive long enough after the start of a run. */
  boolean survived(Placement placement) {
    return placement.survivedStart(lastSignOfLifeMillis);
  }

  /**
   * Returns the runs among the given ones whose starts the worker may not have survived. A task
   * that is already suspected is only exempt by an answer of the worker, which its isolated start
   * requests; otherwise a crash that is reported late would not count.
   */
  List<Placement> unsurvived(Collection<Placement> placements) {
    return placements.stream()
        .filter(
            placement ->
                !survived(placement)
                    && (placement.task().suspected() || !placement.survivedStart(brokeOffAtMillis)))
        .toList();
  }

  /** Keeps new placements off the worker until it has survived the start of a run. */
  void isolate(Placement placement) {
    isolated.add(placement);
  }

  void endIsolation(Placement placement) {
    isolated.remove(placement);
  }

  /** Returns the placements whose starts keep other placements off the worker. */
  Set<Placement> isolated() {
    return isolated;
  }
}
