package org.cicadaford.cell.learning;

import java.util.Arrays;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Compares the run times of the tasks of one step, to learn the speeds of their workers.
 *
 * <p>The tasks of a step do the same kind of work, so the error of its estimate cancels out.
 * Designed for steps of 2 to 150 tasks, with a bounded cost up to 5,000, whose work differs by 0.15
 * to 0.3 (standard deviation of the logarithm), which is learnt as well, and of which one in 33
 * takes seven times as long. A step of one task, or one that ran on one worker, shows nothing.
 */
public final class StepComparison {

  /**
   * A completed run.
   *
   * @param speed speed of its worker
   * @param run identifier of the run
   * @param durationMillis duration of the run in milliseconds
   */
  public record Run(WorkerSpeed speed, String run, long durationMillis) {}

  /** Shortest run that is compared, in milliseconds; the times of reports distort shorter ones. */
  private static final long MIN_DURATION_MILLIS = 50;

  /** Smallest slowness that is attributed to a long task or a temporarily slow worker. */
  private static final double LARGE_SLOWNESS = Math.log(1.8);

  /** The same as a multiple of the standard deviation of the work within a step. */
  private static final double LARGE_DEVIATIONS = 3;

  /** Bounds of the variance of the logarithm of the work within a step. */
  private static final double MIN_NOISE = 0.05 * 0.05;

  private static final double MAX_NOISE = 0.5 * 0.5;

  /** Assumed variance of the work before any step was compared, and its weight in runs. */
  private static final double INITIAL_NOISE = 0.2 * 0.2;

  private static final double INITIAL_WEIGHT = 20;

  /** Weight at which earlier steps are forgotten, in runs. */
  private static final double MAX_WEIGHT = 2_000;

  private double noise = INITIAL_NOISE;
  private double noiseWeight = INITIAL_WEIGHT;

  /** The usual runs of a step on one worker. */
  private static final class WorkerRuns {
    private double sum;
    private int count;
    private final double slowness;
    private final double variance;

    private WorkerRuns(WorkerSpeed speed) {
      slowness = speed.slowness();
      variance = speed.variance();
    }
  }

  /** Learns from the runs that completed the tasks of a step. */
  public void compare(TimedRuns completed, long nowMillis) {
    List<Run> runs =
        completed.runs().stream()
            .filter(run -> run.durationMillis() >= MIN_DURATION_MILLIS)
            .toList();
    if (runs.stream().map(Run::speed).distinct().limit(2).count() < 2) {
      return;
    }
    double[] work = runs.stream().mapToDouble(StepComparison::work).sorted().toArray();
    double usual = work[(work.length - 1) / 2];
    Map<WorkerSpeed, WorkerRuns> byWorker = new IdentityHashMap<>();
    Set<Run> slow = Collections.newSetFromMap(new IdentityHashMap<>());
    for (Run run : runs) {
      if (work(run) - usual > largeSlowness()) {
        slow.add(run);
      } else {
        WorkerRuns ofWorker = byWorker.computeIfAbsent(run.speed(), WorkerRuns::new);
        ofWorker.sum += Math.log(run.durationMillis());
        ofWorker.count++;
      }
    }
    learnSpeeds(byWorker, nowMillis);
    for (Run run : runs) {
      if (slow.contains(run)) {
        run.speed().observeSlowRun(run.run(), work(run) - usual, nowMillis);
      } else {
        run.speed().observeUsualRun(run.run(), nowMillis);
      }
    }
    learnNoise(Arrays.copyOf(work, work.length - slow.size()));
  }

  /**
   * Learns from a run in progress that is overdue in relation to the completed runs of its step.
   *
   * @param completed completed runs of the step
   * @param taskCount number of completed and running tasks; half of them must be completed
   * @return whether the run is overdue
   */
  public boolean compareRunning(Run running, TimedRuns completed, int taskCount, long nowMillis) {
    if (!completed.suffice(taskCount)) {
      return false;
    }
    double usualMillis = Math.max(MIN_DURATION_MILLIS, completed.medianMillis());
    double slowness = work(running) - Math.log(usualMillis);
    if (slowness > largeSlowness()) {
      running.speed().observeSlowRun(running.run(), slowness, nowMillis);
      return true;
    }
    return false;
  }

  /** Returns the variance of the logarithm of the work of the tasks of a step. */
  double noise() {
    return noise;
  }

  /** Returns the logarithm of the run time on a worker of normal speed. */
  private static double work(Run run) {
    return Math.log(run.durationMillis()) - run.speed().slowness();
  }

  private double largeSlowness() {
    return Math.max(LARGE_SLOWNESS, LARGE_DEVIATIONS * Math.sqrt(noise));
  }

  /** Compares the runs on each worker with those on all others, all with the earlier speeds. */
  private void learnSpeeds(Map<WorkerSpeed, WorkerRuns> byWorker, long nowMillis) {
    double allWork = 0;
    double allVariance = 0;
    int allCount = 0;
    for (WorkerRuns runs : byWorker.values()) {
      allWork += runs.sum - runs.count * runs.slowness;
      allVariance += (double) runs.count * runs.count * runs.variance;
      allCount += runs.count;
    }
    for (Map.Entry<WorkerSpeed, WorkerRuns> entry : byWorker.entrySet()) {
      WorkerRuns own = entry.getValue();
      int others = allCount - own.count;
      if (others > 0) {
        double othersWork = (allWork - own.sum + own.count * own.slowness) / others;
        double othersVariance =
            (allVariance - (double) own.count * own.count * own.variance)
                / ((double) others * others);
        double errorVariance = noise / own.count + noise / others + othersVariance;
        entry.getKey().observe(own.sum / own.count - othersWork, errorVariance, nowMillis);
      }
    }
  }

  private void learnNoise(double[] usualWork) {
    if (usualWork.length < 2) {
      return;
    }
    double mean = Arrays.stream(usualWork).average().orElseThrow();
    double squares = Arrays.stream(usualWork).map(work -> (work - mean) * (work - mean)).sum();
    int degrees = usualWork.length - 1;
    noise = (noise * noiseWeight + squares) / (noiseWeight + degrees);
    noise = Math.clamp(noise, MIN_NOISE, MAX_NOISE);
    noiseWeight = Math.min(MAX_WEIGHT, noiseWeight + degrees);
  }
}
