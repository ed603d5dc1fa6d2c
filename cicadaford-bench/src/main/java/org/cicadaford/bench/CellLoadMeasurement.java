package org.cicadaford.bench;

import java.util.ArrayList;
import java.util.List;

/** Measures the processor time of the cell coordinator's decisions by number of workers. */
public final class CellLoadMeasurement {

  private static final long WARM_UP_MILLIS = 12_000;
  private static final long MEASURED_MILLIS = 10_000;

  /**
   * Holds the measurement for one number of workers.
   *
   * @param workers number of workers in the cell
   * @param runningTasks running tasks at the end
   * @param startsPerSecond task starts per second of simulated time
   * @param microsPerEvent processor time of the coordinator per event, in microseconds
   * @param cores processor time per second of simulated time
   * @param journalBytesPerStart bytes of journal records per start
   */
  public record Point(
      int workers,
      long runningTasks,
      double startsPerSecond,
      double microsPerEvent,
      double cores,
      double journalBytesPerStart) {}

  private CellLoadMeasurement() {}

  /** Returns a measurement for each number of workers. */
  public static List<Point> measure(List<Integer> workerCounts, long seed) {
    List<Point> points = new ArrayList<>();
    for (int workers : workerCounts) {
      CellLoadSimulator load = new CellLoadSimulator(workers, seed);
      load.run(WARM_UP_MILLIS);
      load.resetCounts();
      load.run(MEASURED_MILLIS);
      points.add(
          new Point(
              workers,
              load.runningTasks(),
              load.startedTasks() * 1_000.0 / MEASURED_MILLIS,
              load.decisionNanos() / 1_000.0 / load.decisionEvents(),
              load.decisionNanos() / 1_000_000.0 / MEASURED_MILLIS,
              (double) load.journalBytes() / Math.max(1, load.startedTasks())));
    }
    return points;
  }
}
