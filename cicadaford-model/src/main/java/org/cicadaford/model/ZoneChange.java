package org.cicadaford.model;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** Represents one decision of a zone's owner within a {@link ZoneRecord.OwnerBatch}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ZoneChange.WorkerListed.class, name = "worker-listed"),
  @JsonSubTypes.Type(value = ZoneChange.WorkerUnlisted.class, name = "worker-unlisted"),
  @JsonSubTypes.Type(value = ZoneChange.JobAdmitted.class, name = "job-admitted"),
  @JsonSubTypes.Type(value = ZoneChange.TaskPlaced.class, name = "task-placed"),
  @JsonSubTypes.Type(value = ZoneChange.TaskStopping.class, name = "task-stopping"),
  @JsonSubTypes.Type(value = ZoneChange.TaskEnded.class, name = "task-ended"),
  @JsonSubTypes.Type(value = ZoneChange.JobClosed.class, name = "job-closed"),
  @JsonSubTypes.Type(value = ZoneChange.WorkerQuarantined.class, name = "worker-quarantined"),
  @JsonSubTypes.Type(value = ZoneChange.WorkerReleased.class, name = "worker-released")
})
public sealed interface ZoneChange {

  /** Adds a worker, or updates its capacity. */
  record WorkerListed(String workerId, String rack, Resources capacity) implements ZoneChange {}

  /** Removes a worker; valid only if none of its capacity is committed. */
  record WorkerUnlisted(String workerId) implements ZoneChange {}

  /** Adds the tasks of an accepted job that are assigned to this zone. */
  record JobAdmitted(
      String jobId, JobDescription description, List<Integer> taskIndexes, long submittedAtMillis)
      implements ZoneChange {}

  /**
   * Commits a worker's capacity to a task; valid only if the task is waiting and fits.
   *
   * @param attempt number of this placement of the task, from 1; identifies the lease with the task
   * @param reserved committed resources
   */
  record TaskPlaced(
      TaskId taskId, int attempt, String workerId, Resources reserved, long placedAtMillis)
      implements ZoneChange {}

  /** Marks a placed task as stopping; its capacity stays committed until {@link TaskEnded}. */
  record TaskStopping(TaskId taskId, int attempt, TaskEnd reason) implements ZoneChange {}

  /**
   * Releases the capacity of a placement that is known to have ended.
   *
   * @param end why the placement ended, which decides whether the task is placed again
   * @param answer result of the task, or why it failed
   */
  record TaskEnded(TaskId taskId, int attempt, TaskEnd end, String answer, long endedAtMillis)
      implements ZoneChange {}

  /** Closes a job in this zone and discards its waiting tasks. */
  record JobClosed(String jobId, JobState state, String reason, long closedAtMillis)
      implements ZoneChange {}

  /** Excludes a worker on which tasks keep failing from placement, except for probe tasks. */
  record WorkerQuarantined(String workerId, int failureCount, long untilMillis)
      implements ZoneChange {}

  /** Ends the quarantine of a worker. */
  record WorkerReleased(String workerId) implements ZoneChange {}
}
