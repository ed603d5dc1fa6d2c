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
 */
public record WorkerStatus(
    String workerId,
    String rack,
    Resources capacity,
    Resources committed,
    int taskCount,
    int quarantineFailureCount,
    long quarantineUntilMillis) {

  /** Returns what is not committed. */
  public Resources free() {
    return capacity.minus(committed);
  }

  /** Returns whether the worker is in quarantine, probes included. */
  public boolean isQuarantined() {
    return quarantineFailureCount > 0;
  }

  WorkerStatus withCapacity(String newRack, Resources newCapacity) {
    return new WorkerStatus(
        workerId,
        newRack,
        newCapacity,
        committed,
        taskCount,
        quarantineFailureCount,
        quarantineUntilMillis);
  }

  WorkerStatus withCommitted(Resources newCommitted, int newTaskCount) {
    return new WorkerStatus(
        workerId,
        rack,
        capacity,
        newCommitted,
        newTaskCount,
        quarantineFailureCount,
        quarantineUntilMillis);
  }

  WorkerStatus withQuarantine(int failureCount, long untilMillis) {
    return new WorkerStatus(
        workerId, rack, capacity, committed, taskCount, failureCount, untilMillis);
  }
}
