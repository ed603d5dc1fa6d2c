package org.cicadaford.decision;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cicadaford.model.Resources;
import org.cicadaford.model.TaskId;
import org.cicadaford.model.ZoneChange.WorkerListed;
import org.cicadaford.model.ZoneChange.WorkerUnlisted;

/** Holds the workers of a zone and the tasks committed to them. */
final class WorkerTable {

  private final Map<String, WorkerStatus> workersById = new TreeMap<>();
  private final Map<String, Map<TaskId, TaskStatus>> committedByWorker = new HashMap<>();
  private final Map<String, Long> revisionByWorker = new HashMap<>();
  private final WorkerChangeLog changeLog = new WorkerChangeLog();
  private int committedTaskCount;

  /**
   * Adds a worker or changes its capacity. The capacity is never set below what is committed; the
   * owner lists the worker again as its tasks end.
   */
  boolean list(WorkerListed listed) {
    if (!Resources.NONE.fitsIn(listed.capacity())) {
      return false;
    }
    WorkerStatus worker = workersById.get(listed.workerId());
    WorkerStatus updated =
        worker == null
            ? new WorkerStatus(
                listed.workerId(), listed.rack(), listed.capacity(), Resources.NONE, 0, 0, 0, 0)
            : worker.withCapacity(listed.rack(), max(listed.capacity(), worker.committed()));
    put(updated);
    incrementRevision(listed.workerId());
    return true;
  }

  /** Returns the larger amount of each resource. */
  static Resources max(Resources capacity, Resources committed) {
    return new Resources(
        Math.max(capacity.processorsMillicores(), committed.processorsMillicores()),
        Math.max(capacity.memoryMebibytes(), committed.memoryMebibytes()),
        Math.max(capacity.acceleratorCount(), committed.acceleratorCount()));
  }

  /** Increments the worker's revision after the worker or a task on it changed. */
  void incrementRevision(String workerId) {
    revisionByWorker.merge(workerId, 1L, Long::sum);
  }

  long revision(String workerId) {
    return revisionByWorker.getOrDefault(workerId, 0L);
  }

  boolean unlist(WorkerUnlisted unlisted) {
    WorkerStatus worker = workersById.get(unlisted.workerId());
    if (worker == null || worker.taskCount() > 0) {
      return false;
    }
    workersById.remove(unlisted.workerId());
    changeLog.recordChange(unlisted.workerId());
    changeLog.prune(workersById.size(), workersById::containsKey);
    committedByWorker.remove(unlisted.workerId());
    revisionByWorker.remove(unlisted.workerId());
    return true;
  }

  boolean quarantine(String workerId, int failureCount, long untilMillis) {
    WorkerStatus worker = workersById.get(workerId);
    if (worker == null) {
      return false;
    }
    put(worker.withQuarantine(failureCount, untilMillis));
    incrementRevision(workerId);
    return true;
  }

  void commit(TaskStatus task) {
    WorkerStatus worker = workersById.get(task.workerId());
    Resources committed = worker.committed().plus(task.reserved());
    int probes = worker.probeCount() + (worker.isProbe(task.placedAtMillis()) ? 1 : 0);
    put(worker.withCommitted(committed, worker.taskCount() + 1, probes));
    replace(task);
    committedTaskCount++;
  }

  void release(TaskStatus task) {
    WorkerStatus worker = workersById.get(task.workerId());
    Resources committed = worker.committed().minus(task.reserved());
    int probes = worker.probeCount() - (worker.isProbe(task.placedAtMillis()) ? 1 : 0);
    put(worker.withCommitted(committed, worker.taskCount() - 1, Math.max(0, probes)));
    committedByWorker.get(task.workerId()).remove(task.taskId());
    incrementRevision(task.workerId());
    committedTaskCount--;
  }

  private void put(WorkerStatus worker) {
    workersById.put(worker.workerId(), worker);
    changeLog.recordChange(worker.workerId());
  }

  WorkerChangeLog changeLog() {
    return changeLog;
  }

  void replace(TaskStatus task) {
    committedByWorker
        .computeIfAbsent(task.workerId(), id -> new TreeMap<>())
        .put(task.taskId(), task);
    incrementRevision(task.workerId());
  }

  void restore(List<WorkerStatus> workers) {
    workers.forEach(this::put);
  }

  void restoreCommitted(TaskStatus task) {
    replace(task);
    committedTaskCount++;
  }

  WorkerStatus worker(String workerId) {
    return workersById.get(workerId);
  }

  Collection<WorkerStatus> workers() {
    return Collections.unmodifiableCollection(workersById.values());
  }

  Collection<TaskStatus> committedTasksOn(String workerId) {
    return Collections.unmodifiableCollection(
        committedByWorker.getOrDefault(workerId, Map.of()).values());
  }

  int committedTaskCount() {
    return committedTaskCount;
  }
}
