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

/** Measures the processor time of decisions and the heap usage by size of the zone. */
public final class SlopeMeasurement {

  private static final Resources SMALL = new Resources(100, 128, 0);
  private static final int WARM_UP_DECISIONS = 2_000;
  private static final int DECISIONS = 2_000;
  private static final int HEAP_MEASUREMENTS = 3;
  private static final int BATCH_TASKS = 250;
  private static final int BATCH_DECISIONS = 120;

  /**
   * Holds the measurements for one size.
   *
   * @param size value of the varied quantity
   * @param meanMicros mean time of a decision that places one task
   * @param p99Micros 99th percentile of that time
   * @param placementsPerSecond placements per second in decisions of many tasks
   * @param heapMebibytes heap usage of the state and the scheduler
   */
  public record Point(
      int size,
      double meanMicros,
      double p99Micros,
      double placementsPerSecond,
      double heapMebibytes) {}

  private SlopeMeasurement() {}

  /** Returns the measurements for each size, on zones from {@code factory}. */
  public static List<Point> measure(List<Integer> sizes, IntFunction<LoadedZone> factory) {
    List<Point> points = new ArrayList<>();
    for (int size : sizes) {
      points.add(point(size, factory));
    }
    return points;
  }

  private static Point point(int size, IntFunction<LoadedZone> factory) {
    double heapMebibytes = measureHeapMebibytes(size, factory);
    LoadedZone zone = factory.apply(size);
    Histogram nanos = new Histogram(3);
    for (int i = 0; i < WARM_UP_DECISIONS + DECISIONS; i++) {
      zone.admit(SMALL, 1);
      long start = ThreadCpuClock.nanos();
      int changes = zone.decide().size();
      long taken = ThreadCpuClock.nanos() - start;
      if (changes != 1) {
        throw new IllegalStateException("a decision placed " + changes + " tasks instead of 1");
      }
      zone.decideAndRecord();
      zone.endLastJob();
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
    for (int i = 0; i < BATCH_DECISIONS; i++) {
      zone.admit(SMALL, BATCH_TASKS);
      long start = ThreadCpuClock.nanos();
      int changes = zone.decide().size();
      if (i >= BATCH_DECISIONS / 3) {
        nanos += ThreadCpuClock.nanos() - start;
        placements += changes;
      }
      zone.decideAndRecord();
      zone.endLastJob();
    }
    return placements / (nanos / 1e9);
  }

  /**
   * Returns the heap usage of a second zone while the first one is retained. Takes the maximum of
   * several differences, because garbage of earlier measurements that is freed in between makes a
   * difference too small.
   */
  private static double measureHeapMebibytes(int size, IntFunction<LoadedZone> factory) {
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
   * Returns the time to decode and apply the records of a zone, in milliseconds. Measures a single
   * cold run, as after a restart.
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
    checkRebuiltState(state, loaded);
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
    checkRebuiltState(state, loaded);
    return millis;
  }

  private static void checkRebuiltState(ZoneState state, LoadedZone loaded) {
    if (state.committedTaskCount() != loaded.zone().state().committedTaskCount()) {
      throw new IllegalStateException(
          "the rebuilt state differs in committed tasks from the original");
    }
  }
}
