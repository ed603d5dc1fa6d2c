package org.cicadaford.decision;

import org.cicadaford.decision.TaskStatus.Phase;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobState;
import org.cicadaford.model.TaskEnd;
import org.cicadaford.model.WorkerCommand.Lease;

/**
 * Holds the inputs of one round of the lease reconciler.
 *
 * @param inputs inputs of the owner
 * @param zoneTakenOut whether operators have taken the zone out
 * @param epoch ownership epoch of the deciding owner
 * @param nowMillis present time
 */
record ReconcileRound(OwnerInputs inputs, boolean zoneTakenOut, long epoch, long nowMillis) {

  ZoneState zone() {
    return inputs.zone();
  }

  static Lease leaseOf(TaskStatus task) {
    return new Lease(task.taskId(), task.attempt());
  }

  JobStatus jobOf(TaskStatus task) {
    return zone().job(task.taskId().jobId()).orElseThrow();
  }

  JobDescription descriptionOf(TaskStatus task) {
    return jobOf(task).description();
  }

  /** Returns whether an earlier owner recorded the placement, and so may have started it. */
  boolean isFromEarlierOwner(TaskStatus task) {
    return task.placementEpoch() != epoch;
  }

  /** Returns whether the task should run on its worker. */
  boolean shouldRun(TaskStatus task) {
    return task.phase() == Phase.PLACED && jobOf(task).state() == JobState.ACTIVE;
  }

  /** Returns why a task that should not run is stopped. */
  TaskEnd stopReason(TaskStatus task) {
    return jobOf(task).state() == JobState.ACTIVE ? task.lastEnd() : TaskEnd.CANCELLED;
  }
}
