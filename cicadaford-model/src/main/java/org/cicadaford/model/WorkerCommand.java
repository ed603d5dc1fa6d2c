package org.cicadaford.model;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** A command to a worker. Commands are idempotent: a worker that gets one twice does it once. */
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
   * Names one placement of a task.
   *
   * @param taskId the task
   * @param attempt number of the placement
   */
  record Lease(TaskId taskId, int attempt) {}

  /**
   * Starts a task under a lease. A worker refuses it when the lease has already ended on its clock
   * or when the lease was stopped before.
   */
  record Start(
      Lease lease,
      Resources reserved,
      String program,
      long expectedRunMillis,
      long leaseUntilMillis)
      implements WorkerCommand {}

  /**
   * Extends the leases of all listed placements; a lease is never shortened. The worker answers
   * with a report on every placement it knows, listed or not.
   */
  record Renew(List<Lease> leases, long leaseUntilMillis) implements WorkerCommand {}

  /** Writes a checkpoint of a task, which the next placement resumes from. */
  record Checkpoint(Lease lease) implements WorkerCommand {}

  /** Bounds the processors of a task. */
  record Throttle(Lease lease, long processorsMillicores) implements WorkerCommand {}

  /**
   * Stops a task and remembers its lease, so that a start that arrives later is refused. With
   * {@code withCheckpoint}, writes a checkpoint first.
   */
  record Stop(Lease lease, boolean withCheckpoint) implements WorkerCommand {}
}
