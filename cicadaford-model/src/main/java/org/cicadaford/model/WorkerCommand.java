package org.cicadaford.model;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** Represents an idempotent command to a worker, which has the same effect if received twice. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes({
  @JsonSubTypes.Type(value = WorkerCommand.Start.class, name = "start"),
  @JsonSubTypes.Type(value = WorkerCommand.Renew.class, name = "renew"),
  @JsonSubTypes.Type(value = WorkerCommand.Checkpoint.class, name = "checkpoint"),
  @JsonSubTypes.Type(value = WorkerCommand.Throttle.class, name = "throttle"),
  @JsonSubTypes.Type(value = WorkerCommand.Stop.class, name = "stop")
})
public sealed interface WorkerCommand {

  /**
   * Identifies one placement of a task.
   *
   * @param taskId the task
   * @param attempt number of the placement
   */
  record Lease(TaskId taskId, int attempt) {}

  /**
   * Starts a task under a lease. A worker rejects it if the lease has expired by its clock or was
   * stopped before.
   */
  record Start(
      Lease lease,
      Resources reserved,
      String program,
      long expectedRunMillis,
      long leaseUntilMillis)
      implements WorkerCommand {}

  /**
   * Extends, but never shortens, the leases of all listed placements. The worker reports on every
   * placement it knows, listed or not.
   */
  record Renew(List<Lease> leases, long leaseUntilMillis) implements WorkerCommand {}

  /** Writes a checkpoint of a task, from which the next placement resumes. */
  record Checkpoint(Lease lease) implements WorkerCommand {}

  /** Limits the processors of a task. */
  record Throttle(Lease lease, long processorsMillicores) implements WorkerCommand {}

  /**
   * Stops a task and records its lease, so that a start that arrives later is rejected. Writes a
   * checkpoint first if {@code withCheckpoint} is set.
   */
  record Stop(Lease lease, boolean withCheckpoint) implements WorkerCommand {}
}
