package org.cicadaford.decision;

import org.cicadaford.model.Resources;

/**
 * Holds the recorded state of a worker.
 *
 * @param workerId id of the worker
 * @param rack rack of the worker
 * @param capacity total resources of the worker
 * @param committed resources committed to tasks
 * @param taskCount number of tasks with committed capacity
 * @param quarantineFailureCount consecutive failures that led to the quarantine; 0 if not
 *     quarantined
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

  /** Returns the uncommitted resources. */
  public Resources free() {
    return capacity.minus(committed);
  }

  /** Returns whether the worker is quarantined; it still is while a probe runs. */
  public boolean isQuarantined() {
    return quarantineFailureCount > 0;
  }

  /**
   * Returns whether the quarantine allows placing a task now: always if not quarantined, never
   * before the quarantine ends, and one probe at a time after that.
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
