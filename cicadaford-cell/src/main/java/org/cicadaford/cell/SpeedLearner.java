package org.cicadaford.cell;

import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.cicadaford.cell.learning.SpeedClass;
import org.cicadaford.cell.learning.StepComparison;
import org.cicadaford.cell.learning.TimedRuns;

/**
 * Learns the speeds of workers from the ends of runs and from overdue runs.
 *
 * <p>Members of a gang end together, so they are not compared. Runs from a checkpoint, and runs
 * whose start or end was not reported at once, are not timed. The work for each reported run does
 * not depend on the number of tasks of its step.
 */
final class SpeedLearner {

  /**
   * Number of listed workers from which speeds are used for placement. With 30 workers, an earlier
   * preference for fast workers lost 0.013 of the benchmark's score.
   */
  static final int MIN_WORKERS = 100;

  /** Category of the decisions that report a change of class. */
  private static final String CATEGORY = "worker-speed";

  /**
   * Interval at which the class of each worker is updated, in milliseconds. A temporary slowness
   * lasts for seconds.
   */
  private static final long UPDATE_INTERVAL_MILLIS = 250;

  private final CellState state;
  private final int minWorkers;
  private final StepComparison comparison = new StepComparison();
  private OptionalLong nextUpdateMillis = OptionalLong.empty();

  /** Creates a learner whose classes are in effect from a number of listed workers. */
  SpeedLearner(CellState state, int minWorkers) {
    this.state = state;
    this.minWorkers = minWorkers;
  }

  /**
   * Learns from a run that has completed its task, after the task was marked as done.
   *
   * @param prompt whether the worker has reported the end without delay
   */
  void runCompleted(Placement placement, boolean prompt, ClockReading now) {
    StepRun step = placement.task().step();
    if (!comparable(step)) {
      return;
    }
    OptionalLong runMillis = placement.runMillis(now.monotonicMillis());
    if (prompt && runMillis.isPresent() && !placement.overdue()) {
      step.timedRuns().add(timedRun(placement, runMillis.getAsLong()));
    }
    compareIfComplete(step, now);
  }

  /**
   * Compares the completed runs of a step once all other runs are overdue. Earlier, runs on slow
   * workers would be missing; waiting for an overdue run would delay the comparison by seconds.
   */
  private void compareIfComplete(StepRun step, ClockReading now) {
    TimedRuns timedRuns = step.timedRuns();
    if (timedRuns.count() < Math.max(1, step.placedCount()) || step.runsNotOverdue()) {
      return;
    }
    comparison.compare(timedRuns, now.monotonicMillis());
    timedRuns.clear();
  }

  /** Learns from the report of a run in progress, once, if it is overdue and not stalled. */
  void runReported(Placement placement, ClockReading now) {
    StepRun step = placement.task().step();
    TimedRuns timedRuns = step.timedRuns();
    int taskCount = timedRuns.count() + step.placedCount();
    if (!timedRuns.suffice(taskCount)) {
      return;
    }
    long nowMillis = now.monotonicMillis();
    OptionalLong runMillis = placement.runMillis(nowMillis);
    boolean progresses =
        placement.progressPercent() > 0
            && nowMillis - placement.progressAtMillis() <= state.settings().stallMillis();
    if (!comparable(step) || !progresses || runMillis.isEmpty() || placement.overdue()) {
      return;
    }
    StepComparison.Run running = timedRun(placement, runMillis.getAsLong());
    if (comparison.compareRunning(running, timedRuns, taskCount, nowMillis)) {
      placement.markOverdue();
      compareIfComplete(step, now);
    }
  }

  private static boolean comparable(StepRun step) {
    return !step.spec().gang() && !step.spec().longRunning() && !step.spec().fills();
  }

  private static StepComparison.Run timedRun(Placement placement, long runMillis) {
    String run = placement.task().name() + "/" + placement.run();
    return new StepComparison.Run(placement.worker().speed(), run, runMillis);
  }

  /** Updates the classes of the workers and reports those that have changed. */
  void tick(ClockReading now) {
    long nowMillis = now.monotonicMillis();
    if (ElapsedTime.isFuture(nextUpdateMillis, nowMillis)) {
      return;
    }
    nextUpdateMillis = OptionalLong.of(nowMillis + UPDATE_INTERVAL_MILLIS);
    double usualSlowness = medianSlowness();
    boolean inEffect =
        state.workers().values().stream().filter(Worker::listed).count() >= minWorkers;
    for (Worker worker : state.workers().values()) {
      SpeedClass before = worker.speed().speedClass();
      worker.speed().update(usualSlowness, nowMillis);
      if (!inEffect) {
        worker.speed().ignore();
      }
      if (before != worker.speed().speedClass()) {
        report(worker, before);
      }
    }
  }

  private double medianSlowness() {
    double[] sorted =
        state.workers().values().stream()
            .filter(worker -> worker.speed().comparedCount() > 0)
            .mapToDouble(worker -> worker.speed().slowness())
            .sorted()
            .toArray();
    return sorted.length == 0 ? 0 : sorted[sorted.length / 2];
  }

  private void report(Worker worker, SpeedClass before) {
    String inputs =
        "previous="
            + before
            + " incarnation="
            + worker.incarnation()
            + " factor="
            + String.format(Locale.ROOT, "%.2f", worker.speed().factor())
            + " compared="
            + worker.speed().comparedCount();
    state
        .actions()
        .add(
            new Action.ReportDecision(
                CATEGORY, worker.id(), worker.speed().speedClass().name(), inputs));
  }

  /** Returns the number of workers by class, for the metrics. */
  Map<String, Long> counts() {
    Map<String, Long> counts = new TreeMap<>();
    for (SpeedClass speedClass : SpeedClass.values()) {
      counts.put("workers_" + speedClass.name().toLowerCase(Locale.ROOT), 0L);
    }
    for (Worker worker : state.workers().values()) {
      counts.merge(
          "workers_" + worker.speed().speedClass().name().toLowerCase(Locale.ROOT), 1L, Long::sum);
    }
    return counts;
  }
}
