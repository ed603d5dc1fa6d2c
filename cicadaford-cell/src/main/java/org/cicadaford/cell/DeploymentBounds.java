package org.cicadaford.cell;

/**
 * Bounds that the platform states for a deployment, and the times that follow from them.
 *
 * @param runStopMillis maximum time in which a worker stops a run, in milliseconds
 * @param restoreMillis time for the restore from a checkpoint, in milliseconds
 * @param checkpointMillis work between two checkpoints of a run, in milliseconds
 * @param drainMillis minimum time for which a draining worker serves, in milliseconds
 * @param gangTimeoutMillis time for which a gang member waits for the others, in milliseconds
 * @param noticeMillis notice before a worker is taken away, in milliseconds
 * @param maxRecordBytes maximum size of a record in the store
 */
public record DeploymentBounds(
    long runStopMillis,
    long restoreMillis,
    long checkpointMillis,
    long drainMillis,
    long gangTimeoutMillis,
    long noticeMillis,
    int maxRecordBytes) {

  /** Bounds of the first deployments; each applies where a deployment does not state its own. */
  public static final DeploymentBounds DEFAULT =
      new DeploymentBounds(400, 600, 1_000, 2_000, 3_000, 4_500, 262_144);

  /** Time for a stop order to reach its worker and for the end to be reported. */
  private static final long STOP_ORDER_MILLIS = 100;

  /** The same on a slow link or a busy worker; workers answer an order within 600 ms. */
  private static final long SLOW_STOP_ORDER_MILLIS = 600;

  /**
   * Minimum time for which a resumed task runs, whatever the bounds, in milliseconds. It limits how
   * often a task is preempted.
   */
  private static final long MIN_RESUMED_RUN_FLOOR_MILLIS = 1_500;

  /** Returns the time before the latest start of a step at which tasks are preempted for it. */
  long preemptionLeadMillis() {
    return runStopMillis + STOP_ORDER_MILLIS;
  }

  /**
   * Returns the time for which a resumed task runs before it may be preempted again. It covers the
   * cost of the preemption, which is a stop and a restore, and half a checkpoint interval, which is
   * the mean work up to a checkpoint.
   */
  long minResumedRunMillis() {
    return Math.max(
        MIN_RESUMED_RUN_FLOOR_MILLIS, runStopMillis + restoreMillis + checkpointMillis / 2);
  }

  /** Returns the time before the shutdown of a worker at which its runs are stopped. */
  long evictionLeadMillis() {
    return runStopMillis + SLOW_STOP_ORDER_MILLIS;
  }

  /** Returns the time in which a run ends after its stop is confirmed. */
  long stopCompletionMillis() {
    return runStopMillis + SLOW_STOP_ORDER_MILLIS;
  }
}
