package org.cicadaford.model;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** One decision of a zone's owner within a {@link ZoneRecord.OwnerBatch}. */
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

  /** Adds a worker, or states its new capacity. */
  record WorkerListed(String workerId, String rack, Resources capacity) implements ZoneChange {}

  /** Removes a worker; valid only when nothing is committed on it. */
  record WorkerUnlisted(String workerId) implements ZoneChange {}

  /** Takes over the tasks of an accepted job that this zone is to run. */
  record JobAdmitted(
      String jobId, JobDescription description, List<Integer> taskIndexes, long submittedAtMillis)
      implements ZoneChange {}

  /**
   * Commits a worker's capacity to a task; valid only if the task is waiting and the size fits.
   *
   * @param attempt number of this placement of the task, from 1; with the task it names the lease
   * @param reserved amounts committed
   */
  record TaskPlaced(
      TaskId taskId, int attempt, String workerId, Resources reserved, long placedAtMillis)
      implements ZoneChange {}

  /** States that a placed task is to be stopped; its capacity stays committed until it ended. */
  record TaskStopping(TaskId taskId, int attempt, TaskEnd reason) implements ZoneChange {}

  /**
   * Frees the capacity of a placement that has certainly ended.
   *
   * @param end why it ended; decides whether the task waits again
   * @param answer what the task answered, or why it failed
   */
  record TaskEnded(TaskId taskId, int attempt, TaskEnd end, String answer, long endedAtMillis)
      implements ZoneChange {}

  /** Ends a job in this zone; its waiting tasks are dropped. */
  record JobClosed(String jobId, JobState state, String reason, long closedAtMillis)
      implements ZoneChange {}

  /** Keeps new tasks, other than probes, off a worker that fails what it starts. */
  record WorkerQuarantined(String workerId, int failureCount, long untilMillis)
      implements ZoneChange {}

  /** Ends a worker's quarantine. */
  record WorkerReleased(String workerId) implements ZoneChange {}
}
