package org.cicadaford.decision;

import org.cicadaford.model.Resources;

/**
 * A worker as recorded in its zone.
 *
 * @param workerId instance
 * @param rack rack that it is in
 * @param capacity what it offers
 * @param committed what is committed to tasks
 * @param taskCount number of tasks that capacity is committed to
 * @param quarantineFailureCount failures in a row that led to its quarantine; 0 if it has none
 * @param quarantineUntilMillis end of the quarantine, after which a probe may run
 * @param probeCount committed tasks that were placed after the end of the quarantine
 */
public record WorkerStatus(
    String workerId,
    String rack,
    Resources capacity,
    Resources committed,
    int taskCount,
    int quarantineFailureCount,
    long quarantineUntilMillis,
    int probeCount) {

  /** Returns what is not committed. */
  public Resources free() {
    return capacity.minus(committed);
  }

  /** Returns whether the worker is in quarantine, probes included. */
  public boolean isQuarantined() {
    return quarantineFailureCount > 0;
  }

  /**
   * Returns whether a task may be placed now as far as the quarantine goes: always outside a
   * quarantine, never while it lasts, and one probe at a time after it.
   */
  public boolean admitsTask(long nowMillis) {
    return !isQuarantined() || nowMillis >= quarantineUntilMillis && probeCount == 0;
  }

  /** Returns whether a task placed at {@code placedAtMillis} is a probe of a quarantined worker. */
  boolean isProbe(long placedAtMillis) {
    return isQuarantined() && placedAtMillis >= quarantineUntilMillis;
  }

  WorkerStatus withCapacity(String newRack, Resources newCapacity) {
    return new WorkerStatus(
        workerId,
        newRack,
        newCapacity,
        committed,
        taskCount,
        quarantineFailureCount,
        quarantineUntilMillis,
        probeCount);
  }

  WorkerStatus withCommitted(Resources newCommitted, int newTaskCount, int newProbeCount) {
    return new WorkerStatus(
        workerId,
        rack,
        capacity,
        newCommitted,
        newTaskCount,
        quarantineFailureCount,
        quarantineUntilMillis,
        newProbeCount);
  }

  WorkerStatus withQuarantine(int failureCount, long untilMillis) {
    return new WorkerStatus(
        workerId, rack, capacity, committed, taskCount, failureCount, untilMillis, 0);
  }
}
