package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Tracks the start orders to a worker that its next incarnation might carry out.
 *
 * <p>A new incarnation knows neither the ends and stops of runs nor the clock of the one before, so
 * an order in transit starts its run there unless the run is stopped first.
 */
final class EarlierOrders {

  private record Start(int run, long orderedAtMillis) {}

  /** A run to be stopped before it starts. */
  record Run(String task, int number) {}

  private final Map<String, Start> recent = new LinkedHashMap<>();
  private final Map<Run, Long> unansweredAtMillis = new LinkedHashMap<>();
  private final Map<Run, OptionalLong> stopSentAtMillis = new LinkedHashMap<>();

  /** Records a start order; orders older than {@code lateOrderMillis} are forgotten. */
  void recordStart(String task, int run, long nowMillis, long lateOrderMillis) {
    forgetOlder(nowMillis, lateOrderMillis);
    // A later run of the same task moves to the end; stopping it stops the earlier ones as well.
    recent.remove(task);
    recent.put(task, new Start(run, nowMillis));
    unansweredAtMillis.put(new Run(task, run), nowMillis);
  }

  private void forgetOlder(long nowMillis, long lateOrderMillis) {
    Iterator<Start> oldest = recent.values().iterator();
    while (oldest.hasNext() && nowMillis - oldest.next().orderedAtMillis() > lateOrderMillis) {
      oldest.remove();
    }
    unansweredAtMillis.values().removeIf(atMillis -> nowMillis - atMillis > lateOrderMillis);
  }

  /** Records that a worker has answered a start, so that it does not carry it out later. */
  void startAnswered(String task, int run) {
    unansweredAtMillis.remove(new Run(task, run));
  }

  /** Returns whether a start without an answer may still be carried out. */
  boolean unanswered(long nowMillis, long lateOrderMillis) {
    forgetOlder(nowMillis, lateOrderMillis);
    return !unansweredAtMillis.isEmpty();
  }

  /** Returns whether an order that was sent within {@code lateOrderMillis} may be in transit. */
  boolean inTransit(long nowMillis, long lateOrderMillis) {
    forgetOlder(nowMillis, lateOrderMillis);
    return !recent.isEmpty();
  }

  /** Marks all orders that may still be in transit as to be stopped on a new incarnation. */
  void beginIncarnation(long nowMillis, long lateOrderMillis) {
    stopSentAtMillis.clear();
    forgetOlder(nowMillis, lateOrderMillis);
    recent.forEach(
        (task, start) -> stopSentAtMillis.put(new Run(task, start.run()), OptionalLong.empty()));
  }

  /** Removes a run whose stop is not needed, because it is placed or its stop is confirmed. */
  void remove(String task, int run) {
    stopSentAtMillis.remove(new Run(task, run));
  }

  /** Returns whether an order to an earlier incarnation may still start a run. */
  boolean mayStart() {
    return !stopSentAtMillis.isEmpty();
  }

  /** Returns the runs whose stop is due, and records that it is sent. */
  List<Run> takeDue(long nowMillis, long retryMillis, long lateOrderMillis) {
    forgetOlder(nowMillis, lateOrderMillis);
    stopSentAtMillis.keySet().removeIf(run -> !recent.containsKey(run.task()));
    List<Run> due = new ArrayList<>();
    for (Map.Entry<Run, OptionalLong> entry : stopSentAtMillis.entrySet()) {
      if (!ElapsedTime.within(entry.getValue(), nowMillis, retryMillis)) {
        due.add(entry.getKey());
        entry.setValue(OptionalLong.of(nowMillis));
      }
    }
    return due;
  }
}
