package org.cicadaford.bench;

import java.util.ArrayList;
import java.util.List;

/** Measures how the processor time of the cell coordinator's decisions grows with the cell. */
public final class CellLoadMeasurement {

  private static final long WARM_UP_MILLIS = 12_000;
  private static final long MEASURED_MILLIS = 10_000;

  /**
   * One point.
   *
   * @param workers size of the cell
   * @param runningTasks tasks that run at the end
   * @param startsPerSecond starts a second of simulated time
   * @param microsPerEvent processor time of the coordinator for each event, in microseconds
   * @param cores processor time for each second of simulated time
   * @param journalBytesPerStart bytes of journal records for each start
   */
  public record Point(
      int workers,
      long runningTasks,
      double startsPerSecond,
      double microsPerEvent,
      double cores,
      double journalBytesPerStart) {}

  private CellLoadMeasurement() {}

  /** Returns a point for each number of workers. */
  public static List<Point> measure(List<Integer> workerCounts, long seed) {
    List<Point> points = new ArrayList<>();
    for (int workers : workerCounts) {
      CellLoad load = new CellLoad(workers, seed);
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
