package org.cicadaford.cell.learning;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimates the speed of one incarnation of a worker.
 *
 * <p>Designed for two kinds of slow workers: a third of a cell that is permanently slower by about
 * 1.3, and a worker that turns slower by a factor of 2 to 8 for some seconds. The slowness is the
 * logarithm of the run time in relation to that of a worker of normal speed. Its permanent part is
 * a Kalman estimate that relaxes to normal speed; a large temporary one is decided by the last few
 * runs, and is forgotten seconds after the last slow run. Runs slower by a large factor do not
 * enter the permanent part, as one task in 33 takes seven times as long on any worker.
 */
public final class WorkerSpeed {

  /**
   * Variance of the slowness among workers before anything is known. A cell of which a third is
   * slower by 1.3 has 0.015.
   */
  static final double PRIOR_VARIANCE = 0.0169;

  /** Time constant with which the permanent part relaxes to normal speed, in milliseconds. */
  private static final double RELAXATION_MILLIS = 60_000;

  /** Slowness from which a significant difference counts: 12%, half of that of a slow worker. */
  private static final double RELEVANT_SLOWNESS = Math.log(1.12);

  /**
   * Number of standard deviations from which a difference is significant. A wrong decision costs no
   * more than another permitted worker, so one in ten may be wrong.
   */
  private static final double SIGNIFICANCE = 1.3;

  /**
   * Number of recent runs that decide on a temporary slowness, and how many of them must be slow. A
   * single slow run is more often a long task than a slow worker.
   */
  private static final int RECENT_RUNS = 3;

  private static final int SLOW_RUNS = 2;

  /** Time after the last slow run for which a temporary slowness is assumed, in milliseconds. */
  private static final long SLOW_HOLD_MILLIS = 3_000;

  /** Largest factor that is assumed for a temporary slowness. */
  private static final double MAX_FACTOR = 8;

  /** A run that was compared; its slowness is 0 unless it was slower by a large factor. */
  private record RecentRun(String run, double slowness, long atMillis) {}

  private final Deque<RecentRun> recent = new ArrayDeque<>();
  private double mean;
  private double variance = PRIOR_VARIANCE;
  private long updatedAtMillis;
  private int comparedCount;
  private SpeedClass speedClass = SpeedClass.NORMAL;
  private double factor = 1;

  /** Adds the slowness of runs in relation to other workers, with the variance of its error. */
  void observe(double slowness, double errorVariance, long nowMillis) {
    relax(nowMillis);
    double gain = variance / (variance + errorVariance);
    mean += gain * (slowness - mean);
    variance *= 1 - gain;
    comparedCount++;
  }

  /** Records a run of about the expected time. */
  void observeUsualRun(String run, long nowMillis) {
    addRecent(new RecentRun(run, 0, nowMillis));
  }

  /** Records a run that is slower by a large factor; again for the same run, it replaces that. */
  void observeSlowRun(String run, double slowness, long nowMillis) {
    addRecent(new RecentRun(run, slowness, nowMillis));
  }

  private void addRecent(RecentRun run) {
    recent.removeIf(known -> known.run().equals(run.run()));
    recent.addLast(run);
    if (recent.size() > RECENT_RUNS) {
      recent.removeFirst();
    }
  }

  private void relax(long nowMillis) {
    double remaining = Math.exp(-(nowMillis - updatedAtMillis) / RELAXATION_MILLIS);
    mean *= remaining;
    variance = PRIOR_VARIANCE + (variance - PRIOR_VARIANCE) * remaining * remaining;
    updatedAtMillis = nowMillis;
  }

  /** Returns the permanent part of the slowness as of the last comparison. */
  public double slowness() {
    return mean;
  }

  /** Returns the variance of the permanent part as of the last comparison. */
  double variance() {
    return variance;
  }

  /** Returns the number of comparisons with other workers. */
  public int comparedCount() {
    return comparedCount;
  }

  /**
   * Updates the class and the factor.
   *
   * @param usualSlowness median of the slowness of the workers of the cell
   */
  public void update(double usualSlowness, long nowMillis) {
    relax(nowMillis);
    double permanent = comparedCount == 0 ? 0 : mean - usualSlowness;
    double temporary = temporarySlowness(nowMillis);
    double required = Math.max(RELEVANT_SLOWNESS, SIGNIFICANCE * Math.sqrt(variance));
    if (temporary > 0) {
      speedClass = SpeedClass.VERY_SLOW;
    } else if (permanent > required) {
      speedClass = SpeedClass.SLOW;
    } else {
      speedClass = permanent < -required ? SpeedClass.FAST : SpeedClass.NORMAL;
    }
    boolean slow = speedClass == SpeedClass.SLOW || speedClass == SpeedClass.VERY_SLOW;
    factor = slow ? Math.min(MAX_FACTOR, Math.exp(Math.max(permanent, temporary))) : 1;
  }

  /** Treats the worker as one of normal speed until the next update. */
  public void ignore() {
    speedClass = SpeedClass.NORMAL;
    factor = 1;
  }

  /** Returns the class of the worker as of the last update. */
  public SpeedClass speedClass() {
    return speedClass;
  }

  /**
   * Returns the factor by which runs take longer than on the median worker, as last updated; 1
   * unless the worker is significantly slower.
   */
  public double factor() {
    return factor;
  }

  /** Returns the smallest slowness of the recent slow runs, or 0 if they are too few or too old. */
  private double temporarySlowness(long nowMillis) {
    int slowRuns = 0;
    double least = Double.MAX_VALUE;
    long lastSlowMillis = 0;
    for (RecentRun run : recent) {
      if (run.slowness() > 0) {
        slowRuns++;
        least = Math.min(least, run.slowness());
        lastSlowMillis = run.atMillis();
      }
    }
    boolean current = nowMillis - lastSlowMillis <= SLOW_HOLD_MILLIS;
    return slowRuns >= SLOW_RUNS && current ? least : 0;
  }
}
