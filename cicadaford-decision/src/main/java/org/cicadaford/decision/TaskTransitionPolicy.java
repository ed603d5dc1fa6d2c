package org.cicadaford.decision;

import org.cicadaford.decision.TaskStatus.Phase;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobKind;
import org.cicadaford.model.JobState;
import org.cicadaford.model.TaskEnd;

/** Decides the next phase of a task after a placement ends. */
final class TaskTransitionPolicy {

  /** Number of failed placements after which a task is not placed again. */
  static final int MAX_TASK_FAILURES = 5;

  private TaskTransitionPolicy() {}

  /** Returns whether a task may be started again although it may have run. */
  static boolean mayRunAgain(JobDescription description) {
    return description.repeatable() || description.kind() == JobKind.SERVICE;
  }

  /** Returns whether a running task may be stopped to run elsewhere. */
  static boolean isMovable(JobDescription description) {
    return mayRunAgain(description) || description.checkpointable();
  }

  static Phase phaseAfter(JobStatus job, TaskStatus task, TaskEnd end) {
    if (job.state() != JobState.ACTIVE) {
      return Phase.ENDED;
    }
    JobDescription description = job.description();
    boolean isService = description.kind() == JobKind.SERVICE;
    boolean waits =
        switch (end) {
          case COMPLETED -> isService;
          case CANCELLED -> false;
          case NOT_STARTED -> true;
          case FAILED ->
              isService || description.repeatable() && task.failureCount() + 1 < MAX_TASK_FAILURES;
          case LOST -> mayRunAgain(description);
          case PREEMPTED, EVACUATED -> isMovable(description);
        };
    return waits ? Phase.WAITING : Phase.ENDED;
  }
}
