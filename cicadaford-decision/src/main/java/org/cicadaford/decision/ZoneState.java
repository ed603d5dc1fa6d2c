package org.cicadaford.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.cicadaford.model.Resources;
import org.cicadaford.model.TaskId;
import org.cicadaford.model.ZoneChange;
import org.cicadaford.model.ZoneRecord;
import org.cicadaford.model.ZoneRecord.OwnerBatch;
import org.cicadaford.model.ZoneRecord.OwnerClaimed;
import org.cicadaford.model.ZoneRecord.ZoneSnapshotChunk;

/**
 * Holds the state of a zone's workers, jobs and tasks, built by applying the records of the {@code
 * zone-<name>} stream in order.
 *
 * <p>Every reader rejects placements that do not fit on the worker or that a replaced owner wrote,
 * so workers are never overcommitted whatever an owner writes. Not thread-safe.
 */
public final class ZoneState {

  private final ZoneTables tables = new ZoneTables();
  private final ZoneSnapshotAssembler snapshotAssembler = new ZoneSnapshotAssembler();
  private long appliedOffset = ConfigState.NO_OFFSET;
  private long epoch = ConfigState.NO_OFFSET;
  private long previousEpoch = ConfigState.NO_OFFSET;
  private String claimRecordId = "";
  private String ownerInstanceId = "";
  private long sequence;
  private long lastBatchAtMillis;
  private long previousOwnersLastBatchAtMillis;
  private long requestsOffset;
  private boolean complete;

  /** Applies the record at {@code offset} and returns what it did. */
  public ZoneApplyResult apply(long offset, ZoneRecord record) {
    if (offset <= appliedOffset) {
      return new ZoneApplyResult.Ignored("offset " + offset + " was already applied");
    }
    appliedOffset = offset;
    complete = complete || offset == 0;
    if (!complete && !(record instanceof ZoneSnapshotChunk)) {
      return new ZoneApplyResult.Ignored(
          "records before the first retained snapshot cannot be applied");
    }
    return switch (record) {
      case OwnerClaimed claimed -> claim(offset, claimed);
      case OwnerBatch batch -> applyBatch(batch);
      case ZoneSnapshotChunk chunk -> applyChunk(offset, chunk);
    };
  }

  private ZoneApplyResult claim(long offset, OwnerClaimed claimed) {
    if (epoch != ConfigState.NO_OFFSET && claimed.recordId().equals(claimRecordId)) {
      return new ZoneApplyResult.Ignored("the claim " + claimRecordId + " was already applied");
    }
    previousOwnersLastBatchAtMillis = Math.max(previousOwnersLastBatchAtMillis, lastBatchAtMillis);
    previousEpoch = epoch;
    epoch = offset;
    claimRecordId = claimed.recordId();
    ownerInstanceId = claimed.instanceId();
    sequence = 0;
    lastBatchAtMillis = claimed.claimedAtMillis();
    return new ZoneApplyResult.Applied(List.of());
  }

  private ZoneApplyResult applyBatch(OwnerBatch batch) {
    if (batch.epoch() != epoch) {
      return new ZoneApplyResult.Ignored(
          "epoch " + batch.epoch() + " is not the current epoch " + epoch);
    }
    if (batch.sequence() != sequence + 1) {
      return new ZoneApplyResult.Ignored(
          "batch " + batch.sequence() + " does not follow batch " + sequence);
    }
    sequence = batch.sequence();
    lastBatchAtMillis = Math.max(lastBatchAtMillis, batch.writtenAtMillis());
    requestsOffset = Math.max(requestsOffset, batch.requestsOffset());
    tables.removeExpiredJobs(batch.writtenAtMillis());
    List<ZoneChange> rejected = new ArrayList<>();
    for (ZoneChange change : batch.changes()) {
      if (!tables.apply(change, epoch)) {
        rejected.add(change);
      }
    }
    return new ZoneApplyResult.Applied(rejected);
  }

  private ZoneApplyResult applyChunk(long offset, ZoneSnapshotChunk chunk) {
    if (complete) {
      return new ZoneApplyResult.Applied(List.of());
    }
    Optional<ZoneSnapshotContent> content = snapshotAssembler.add(offset, chunk);
    content.ifPresent(this::restore);
    return new ZoneApplyResult.Applied(List.of());
  }

  private void restore(ZoneSnapshotContent content) {
    tables.restore(content);
    epoch = content.epoch();
    previousEpoch = content.previousEpoch();
    claimRecordId = content.claimRecordId();
    ownerInstanceId = content.ownerInstanceId();
    sequence = content.sequence();
    lastBatchAtMillis = content.lastBatchAtMillis();
    previousOwnersLastBatchAtMillis = content.previousOwnersLastBatchAtMillis();
    requestsOffset = content.requestsOffset();
    complete = true;
  }

  /**
   * Returns the state as snapshot chunks of at most {@code maxChunkBytes}. The snapshot is valid
   * only if its chunks are written right after the last applied record, with no other record in
   * between.
   */
  public List<ZoneSnapshotChunk> snapshot(String snapshotId, int maxChunkBytes) {
    ZoneSnapshotContent content =
        new ZoneSnapshotContent(
            epoch,
            previousEpoch,
            claimRecordId,
            ownerInstanceId,
            sequence,
            lastBatchAtMillis,
            previousOwnersLastBatchAtMillis,
            requestsOffset,
            tables.workerList(),
            tables.jobList(),
            tables.taskList());
    return content.toChunks(snapshotId, epoch, appliedOffset, maxChunkBytes);
  }

  /** Returns whether every record since the first one or since a snapshot was applied. */
  public boolean isComplete() {
    return complete;
  }

  /** Returns the offset of the last record applied, or -1. */
  public long appliedOffset() {
    return appliedOffset;
  }

  /** Returns the current ownership epoch, or -1 before the first claim. */
  public long epoch() {
    return epoch;
  }

  /** Returns the epoch of the owner before the current one, or -1 if there was none. */
  public long previousEpoch() {
    return previousEpoch;
  }

  /** Returns the entry instance that owns the zone, or an empty string before the first claim. */
  public String ownerInstanceId() {
    return ownerInstanceId;
  }

  /** Returns the number of the last batch of the current epoch, or 0. */
  public long sequence() {
    return sequence;
  }

  /** Returns the owner's clock at its claim or last batch, in milliseconds. */
  public long lastBatchAtMillis() {
    return lastBatchAtMillis;
  }

  /** Returns the latest timestamp of a batch of any earlier owner, in milliseconds; 0 if none. */
  public long previousOwnersLastBatchAtMillis() {
    return previousOwnersLastBatchAtMillis;
  }

  /** Returns the offset before which all requests are reflected in this state. */
  public long requestsOffset() {
    return requestsOffset;
  }

  /** Returns the worker of this id. */
  public Optional<WorkerStatus> worker(String workerId) {
    return Optional.ofNullable(tables.worker(workerId));
  }

  /** Returns all workers in the order of their ids. */
  public Collection<WorkerStatus> workers() {
    return tables.workers();
  }

  /** Returns the job of this id. */
  public Optional<JobStatus> job(String jobId) {
    return Optional.ofNullable(tables.job(jobId));
  }

  /** Returns all jobs in the order of their admission. */
  public Collection<JobStatus> jobs() {
    return tables.jobs();
  }

  /** Returns the jobs with waiting tasks in the order of their admission. */
  public Collection<JobStatus> waitingJobs() {
    return tables.waitingJobs();
  }

  /** Returns the active jobs of which no task waits or is placed, in the order of admission. */
  public Collection<JobStatus> finishedJobs() {
    return tables.finishedJobs();
  }

  /** Returns the task of this id. */
  public Optional<TaskStatus> task(TaskId taskId) {
    return Optional.ofNullable(tables.task(taskId));
  }

  /** Returns the tasks of a job in the order of their indexes. */
  public Collection<TaskStatus> tasksOf(String jobId) {
    return tables.tasksOf(jobId);
  }

  /** Returns the waiting tasks of a job in the order of their indexes. */
  public Collection<TaskStatus> waitingTasksOf(String jobId) {
    return tables.waitingTasksOf(jobId);
  }

  /** Returns the tasks committed to the worker. */
  public Collection<TaskStatus> committedTasksOn(String workerId) {
    return tables.committedTasksOn(workerId);
  }

  /**
   * Returns a revision that changes whenever the worker, a task on it or the job of such a task
   * changes.
   */
  long workerRevision(String workerId) {
    return tables.workerRevision(workerId);
  }

  /** Returns the number of tasks of a job with committed capacity. */
  int committedTaskCount(String jobId) {
    return tables.committedTaskCount(jobId);
  }

  /** Returns the processors committed to the team's tasks in this zone, in millicores. */
  public long committedMillicores(String team) {
    return tables.committedMillicores(team);
  }

  /** Returns the resources committed to the team's tasks in this zone. */
  public Resources committed(String team) {
    return tables.committed(team);
  }

  /** Returns the teams with committed capacity. */
  Collection<String> teamsWithCommitted() {
    return tables.teamsWithCommitted();
  }

  /** Returns the index of waiting jobs for the scheduler. */
  WaitingIndex waitingIndex() {
    return tables.waitingIndex();
  }

  /** Returns the log of worker changes. */
  WorkerChangeLog workerChangeLog() {
    return tables.workerChangeLog();
  }

  /** Returns the number of tasks with committed capacity. */
  public int committedTaskCount() {
    return tables.committedTaskCount();
  }
}
