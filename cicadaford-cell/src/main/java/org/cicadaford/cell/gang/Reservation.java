package org.cicadaford.cell.gang;

import org.cicadaford.model.Resources;

/**
 * Capacity of a worker that is kept for a gang until it starts.
 *
 * @param gangId name of the gang
 * @param workerId id of the worker
 * @param priority urgency of the gang; steps of less urgent queues are kept off
 * @param exclusive whether steps of the same priority are kept off as well
 * @param startMillis expected start of the gang, in milliseconds
 * @param amount capacity that the gang uses
 * @param releasedBefore capacity that runs are expected to release until the gang starts
 */
public record Reservation(
    String gangId,
    String workerId,
    int priority,
    boolean exclusive,
    long startMillis,
    Resources amount,
    Resources releasedBefore) {

  /**
   * Factor on the estimate of a run in the decision whether it ends in time. The estimates are off
   * by up to half, and a third of the workers is slower by 1.3.
   */
  private static final int ESTIMATE_FACTOR = 2;

  /** Time from the placement of a run until it starts, in milliseconds: an append and an order. */
  private static final long START_MILLIS = 100;

  /** Returns whether work of another gang or step is kept off. */
  public boolean keepsOff(String stepId, int stepPriority) {
    boolean lessUrgent = stepPriority > priority || (exclusive && stepPriority == priority);
    return lessUrgent && !stepId.equals(gangId);
  }

  /** Returns whether a run that is placed now is expected to end before the gang starts. */
  public boolean allowsUntilStart(long estimateMillis, long nowMillis) {
    return nowMillis + START_MILLIS + ESTIMATE_FACTOR * estimateMillis <= startMillis;
  }
}
