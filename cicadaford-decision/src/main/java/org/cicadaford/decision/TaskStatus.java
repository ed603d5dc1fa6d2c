package org.cicadaford.decision;

import org.cicadaford.model.Resources;
import org.cicadaford.model.TaskEnd;
import org.cicadaford.model.TaskId;

/**
 * Holds the recorded state of a task of an admitted job.
 *
 * @param taskId the task
 * @param phase current phase
 * @param attempt number of its last placement; 0 before the first
 * @param workerId worker of the last placement, or empty
 * @param reserved resources committed while it is placed
 * @param placedAtMillis time of the last placement, or 0
 * @param placementEpoch ownership epoch that recorded the last placement, or -1
 * @param failureCount number of placements that failed
 * @param lastEnd how the last placement ended, or null
 * @param answer what the task answered, or why it failed
 * @param endedAtMillis time at which the last placement ended, or 0
 */
public record TaskStatus(
    TaskId taskId,
    Phase phase,
    int attempt,
    String workerId,
    Resources reserved,
    long placedAtMillis,
    long placementEpoch,
    int failureCount,
    TaskEnd lastEnd,
    String answer,
    long endedAtMillis) {

  /** Phase of a task. */
  public enum Phase {
    /** The task waits for a placement. */
    WAITING,
    /** Capacity is committed to the task; it runs or is about to. */
    PLACED,
    /** The task is being stopped; its capacity stays committed. */
    STOPPING,
    /** The task will not run again. */
    ENDED
  }

  static TaskStatus waiting(TaskId taskId) {
    return new TaskStatus(
        taskId, Phase.WAITING, 0, "", Resources.NONE, 0, ConfigState.NO_OFFSET, 0, null, "", 0);
  }

  /** Returns whether a worker's capacity is committed to the task. */
  public boolean isCommitted() {
    return phase == Phase.PLACED || phase == Phase.STOPPING;
  }

  TaskStatus placed(int newAttempt, String worker, Resources amounts, long nowMillis, long epoch) {
    return new TaskStatus(
        taskId,
        Phase.PLACED,
        newAttempt,
        worker,
        amounts,
        nowMillis,
        epoch,
        failureCount,
        null,
        answer,
        0);
  }

  TaskStatus stopping(TaskEnd reason) {
    return new TaskStatus(
        taskId,
        Phase.STOPPING,
        attempt,
        workerId,
        reserved,
        placedAtMillis,
        placementEpoch,
        failureCount,
        reason,
        answer,
        0);
  }

  TaskStatus ended(Phase nextPhase, TaskEnd end, String newAnswer, long nowMillis) {
    int failures = failureCount + (end == TaskEnd.FAILED ? 1 : 0);
    return new TaskStatus(
        taskId,
        nextPhase,
        attempt,
        workerId,
        Resources.NONE,
        placedAtMillis,
        placementEpoch,
        failures,
        end,
        newAnswer,
        nowMillis);
  }
}
