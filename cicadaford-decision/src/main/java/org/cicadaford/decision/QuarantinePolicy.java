package org.cicadaford.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cicadaford.model.TaskReport;
import org.cicadaford.model.ZoneChange;
import org.cicadaford.model.ZoneChange.WorkerQuarantined;
import org.cicadaford.model.ZoneChange.WorkerReleased;

/**
 * Quarantines workers on which consecutive tasks fail, and releases them after a success.
 *
 * <p>Failures of a job that has failed on several workers and succeeded on none are attributed to
 * the job, not to the workers.
 */
final class QuarantinePolicy {

  /**
   * Number of distinct workers on which a job must fail before its failures are attributed to it.
   */
  private static final int FAILED_WORKERS_TO_ATTRIBUTE_TO_JOB = 2;

  /**
   * Maximum failures kept per worker, which bounds memory when jobs are the cause of the failures.
   */
  private static final int MAX_FAILURES_RETAINED = 16;

  private final LifeCycleSettings settings;
  private final Map<String, WorkerHistory> workers = new HashMap<>();
  private final Map<String, JobHistory> jobs = new HashMap<>();

  private static final class WorkerHistory {
    private final List<String> consecutiveFailedJobs = new ArrayList<>();
    private long lastFailedPlacementMillis;
    private long lastSucceededPlacementMillis;
    private String lastFailedJob = "";
  }

  private static final class JobHistory {
    private final Set<String> failedOn = new HashSet<>();
    private boolean succeeded;
  }

  QuarantinePolicy(LifeCycleSettings settings) {
    this.settings = settings;
  }

  /** Records the last report on a placement; each failure and success counts once. */
  void observe(ReconcileRound round, TaskStatus task, LeaseEntry entry) {
    TaskReport report = entry.report;
    if (report == null || report.startedAtMillis() == 0) {
      return;
    }
    long endMillis = entry.hasEnded() ? report.endedAtMillis() : entry.reportReceivedAtMillis;
    boolean ranLong = endMillis - report.startedAtMillis() > settings.fastFailureMillis();
    switch (report.state()) {
      case COMPLETED -> countSuccess(task, entry);
      case RUNNING -> {
        if (ranLong) {
          countSuccess(task, entry);
        }
      }
      case FAILED -> {
        if (!ranLong && round.shouldRun(task)) {
          countFailure(task, entry);
        }
      }
      default -> {}
    }
  }

  private void countSuccess(TaskStatus task, LeaseEntry entry) {
    if (entry.successCounted) {
      return;
    }
    entry.successCounted = true;
    job(task).succeeded = true;
    WorkerHistory worker = worker(task.workerId());
    worker.consecutiveFailedJobs.clear();
    worker.lastSucceededPlacementMillis =
        Math.max(worker.lastSucceededPlacementMillis, task.placedAtMillis());
  }

  private void countFailure(TaskStatus task, LeaseEntry entry) {
    if (entry.failureCounted) {
      return;
    }
    entry.failureCounted = true;
    job(task).failedOn.add(task.workerId());
    WorkerHistory worker = worker(task.workerId());
    worker.consecutiveFailedJobs.add(task.taskId().jobId());
    if (worker.consecutiveFailedJobs.size() > MAX_FAILURES_RETAINED) {
      worker.consecutiveFailedJobs.removeFirst();
    }
    worker.lastFailedJob = task.taskId().jobId();
    worker.lastFailedPlacementMillis =
        Math.max(worker.lastFailedPlacementMillis, task.placedAtMillis());
  }

  private WorkerHistory worker(String workerId) {
    return workers.computeIfAbsent(workerId, id -> new WorkerHistory());
  }

  private JobHistory job(TaskStatus task) {
    return jobs.computeIfAbsent(task.taskId().jobId(), id -> new JobHistory());
  }

  private boolean countsAgainstWorker(String jobId) {
    JobHistory job = jobs.get(jobId);
    return job == null || job.succeeded || job.failedOn.size() < FAILED_WORKERS_TO_ATTRIBUTE_TO_JOB;
  }

  /**
   * Returns the change of the worker's quarantine, if any; it is returned again until it is
   * recorded.
   */
  Optional<ZoneChange> decide(WorkerStatus status, long nowMillis) {
    WorkerHistory worker = workers.get(status.workerId());
    if (worker == null) {
      return Optional.empty();
    }
    if (status.isQuarantined()) {
      return decideProbe(status, worker, nowMillis);
    }
    long count = worker.consecutiveFailedJobs.stream().filter(this::countsAgainstWorker).count();
    return count >= settings.failuresToQuarantine()
        ? Optional.of(quarantine(status, settings.failuresToQuarantine(), nowMillis))
        : Optional.empty();
  }

  private Optional<ZoneChange> decideProbe(
      WorkerStatus status, WorkerHistory worker, long nowMillis) {
    worker.consecutiveFailedJobs.clear();
    if (status.isProbe(worker.lastSucceededPlacementMillis)) {
      return Optional.of(new WorkerReleased(status.workerId()));
    }
    boolean probeFailed =
        status.isProbe(worker.lastFailedPlacementMillis)
            && countsAgainstWorker(worker.lastFailedJob);
    return probeFailed
        ? Optional.of(quarantine(status, status.quarantineFailureCount() + 1, nowMillis))
        : Optional.empty();
  }

  private WorkerQuarantined quarantine(WorkerStatus status, int failureCount, long nowMillis) {
    int doublings = Math.min(Long.SIZE / 2, failureCount - settings.failuresToQuarantine());
    long lengthMillis =
        Math.min(settings.longestQuarantineMillis(), settings.firstQuarantineMillis() << doublings);
    return new WorkerQuarantined(status.workerId(), failureCount, nowMillis + lengthMillis);
  }

  void removeEnded(ZoneState zone) {
    workers.keySet().removeIf(workerId -> zone.worker(workerId).isEmpty());
    jobs.keySet().removeIf(jobId -> zone.job(jobId).isEmpty());
  }
}
