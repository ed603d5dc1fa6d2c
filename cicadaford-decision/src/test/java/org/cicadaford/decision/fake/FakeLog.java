package org.cicadaford.decision.fake;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Simulates a log stream in memory. An append may be delayed, duplicated or lost; writers get no
 * answer and must read the stream back.
 */
final class FakeLog<R> {

  private final List<R> records = new ArrayList<>();
  private final EventScheduler events;
  private final SplittableRandom random;
  private final Consumer<R> onArrival;
  boolean faulty = true;

  FakeLog(EventScheduler events, SplittableRandom random, Consumer<R> onArrival) {
    this.events = events;
    this.random = random;
    this.onArrival = onArrival;
  }

  void append(R record) {
    int fault = faulty ? random.nextInt(100) : 100;
    if (fault < 4) {
      return;
    }
    long delayMillis = fault < 10 ? random.nextInt(8_000) : 2 + random.nextInt(60);
    events.schedule(delayMillis, () -> arrive(record));
    if (fault < 16) {
      events.schedule(delayMillis + random.nextInt(6_000), () -> arrive(record));
    }
  }

  private void arrive(R record) {
    records.add(record);
    onArrival.accept(record);
  }

  List<R> records() {
    return records;
  }
}
