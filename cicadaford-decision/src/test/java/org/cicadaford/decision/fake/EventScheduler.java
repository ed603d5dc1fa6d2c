package org.cicadaford.decision.fake;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Schedules events in simulated time; events at equal times run in insertion order. */
final class EventScheduler {

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
  private final Runnable beforeEach;
  private long nowMillis;
  private long count;

  private record Event(long atMillis, long number, Runnable action) {}

  EventScheduler(long startMillis, Runnable beforeEach) {
    this.nowMillis = startMillis;
    this.beforeEach = beforeEach;
  }

  long nowMillis() {
    return nowMillis;
  }

  void schedule(long delayMillis, Runnable action) {
    events.add(new Event(nowMillis + delayMillis, count++, action));
  }

  void advance(long millis) {
    long untilMillis = nowMillis + millis;
    while (!events.isEmpty() && events.peek().atMillis() <= untilMillis) {
      Event event = events.remove();
      nowMillis = Math.max(nowMillis, event.atMillis());
      beforeEach.run();
      event.action().run();
    }
    nowMillis = untilMillis;
    beforeEach.run();
  }
}
