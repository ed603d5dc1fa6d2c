package org.cicadaford.bench;

import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import org.HdrHistogram.Histogram;
import org.cicadaford.decision.ZoneState;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.model.Resources;
import org.cicadaford.model.ZoneRecord;

/** Measures how the processor time of a decision, and memory, grow with the size of the zone. */
public final class SlopeMeasurement {

  private static final Resources SMALL = new Resources(100, 128, 0);
  private static final int WARM_UP_DECISIONS = 2_000;
  private static final int DECISIONS = 2_000;
  private static final int HEAP_MEASUREMENTS = 3;
  private static final int BATCH_TASKS = 250;
  private static final int BATCHES = 120;

  /**
   * One point of a slope.
   *
   * @param size what was varied
   * @param meanMicros mean time of a decision that places one task
   * @param p99Micros 99th percentile of that time
   * @param placementsPerSecond placements per second in decisions of many tasks
   * @param heapMebibytes heap that the state and the scheduler hold
   */
  public record Point(
      int size,
      double meanMicros,
      double p99Micros,
      double placementsPerSecond,
      double heapMebibytes) {}

  private SlopeMeasurement() {}

  /** Returns a point for each size, on zones that {@code factory} makes. */
  public static List<Point> measure(List<Integer> sizes, IntFunction<LoadedZone> factory) {
    List<Point> points = new ArrayList<>();
    for (int size : sizes) {
      points.add(point(size, factory));
    }
    return points;
  }

  private static Point point(int size, IntFunction<LoadedZone> factory) {
    double heapMebibytes = heapMebibytes(size, factory);
    LoadedZone zone = factory.apply(size);
    Histogram nanos = new Histogram(3);
    for (int i = 0; i < WARM_UP_DECISIONS + DECISIONS; i++) {
      zone.admit(SMALL, 1);
      long start = CpuClock.nanos();
      int changes = zone.decide().size();
      long taken = CpuClock.nanos() - start;
      if (changes != 1) {
        throw new IllegalStateException("a decision placed " + changes + " tasks instead of 1");
      }
      zone.decideAndRecord();
      zone.endLast();
      if (i >= WARM_UP_DECISIONS) {
        nanos.recordValue(taken);
      }
    }
    return new Point(
        size,
        nanos.getMean() / 1_000,
        nanos.getValueAtPercentile(99) / 1_000.0,
        throughput(zone),
        heapMebibytes);
  }

  private static double throughput(LoadedZone zone) {
    long placements = 0;
    long nanos = 0;
    for (int i = 0; i < BATCHES; i++) {
      zone.admit(SMALL, BATCH_TASKS);
      long start = CpuClock.nanos();
      int changes = zone.decide().size();
      if (i >= BATCHES / 3) {
        nanos += CpuClock.nanos() - start;
        placements += changes;
      }
      zone.decideAndRecord();
      zone.endLast();
    }
    return placements / (nanos / 1e9);
  }

  /**
   * Returns what a second zone adds to the heap while the first one is kept. The largest of several
   * differences is taken, as what earlier measurements left behind makes a difference smaller when
   * it is freed in between.
   */
  private static double heapMebibytes(int size, IntFunction<LoadedZone> factory) {
    double largest = 0;
    for (int i = 0; i < HEAP_MEASUREMENTS; i++) {
      List<LoadedZone> kept = new ArrayList<>();
      kept.add(factory.apply(size));
      long withOne = usedHeap();
      kept.add(factory.apply(size));
      largest = Math.max(largest, (usedHeap() - withOne) / 1_048_576.0);
      Reference.reachabilityFence(kept);
    }
    return largest;
  }

  private static long usedHeap() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /**
   * Returns the time to decode and apply the records of a zone from the first one on, in
   * milliseconds; the best of several runs is not taken, but the first one after a start.
   */
  public static double rebuildMillis(LoadedZone loaded) throws MalformedRecordException {
    List<byte[]> log = new ArrayList<>();
    for (ZoneRecord record : loaded.zone().stream()) {
      log.add(RecordCodec.encode(record));
    }
    long start = System.nanoTime();
    ZoneState state = new ZoneState();
    for (int offset = 0; offset < log.size(); offset++) {
      state.apply(offset, RecordCodec.decode(log.get(offset), ZoneRecord.class));
    }
    double millis = (System.nanoTime() - start) / 1e6;
    check(state, loaded);
    return millis;
  }

  /** Returns the time to decode and apply a snapshot of the zone, in milliseconds. */
  public static double snapshotMillis(LoadedZone loaded) throws MalformedRecordException {
    List<byte[]> log = new ArrayList<>();
    for (ZoneRecord record : loaded.zone().state().snapshot("s", 65_536)) {
      log.add(RecordCodec.encode(record));
    }
    long first = loaded.zone().state().appliedOffset() + 1;
    long start = System.nanoTime();
    ZoneState state = new ZoneState();
    for (int index = 0; index < log.size(); index++) {
      state.apply(first + index, RecordCodec.decode(log.get(index), ZoneRecord.class));
    }
    double millis = (System.nanoTime() - start) / 1e6;
    check(state, loaded);
    return millis;
  }

  private static void check(ZoneState state, LoadedZone loaded) {
    if (state.committedTaskCount() != loaded.zone().state().committedTaskCount()) {
      throw new IllegalStateException("the rebuilt state has other tasks than the original one");
    }
  }
}
