package org.cicadaford.decision;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.cicadaford.decision.TaskStatus.Phase;
import org.cicadaford.model.JobState;
import org.cicadaford.model.Resources;
import org.cicadaford.model.TaskEnd;
import org.cicadaford.model.TaskId;
import org.cicadaford.model.ZoneChange;
import org.cicadaford.model.ZoneChange.JobAdmitted;
import org.cicadaford.model.ZoneChange.JobClosed;
import org.cicadaford.model.ZoneChange.TaskEnded;
import org.cicadaford.model.ZoneChange.TaskPlaced;
import org.cicadaford.model.ZoneChange.TaskStopping;
import org.cicadaford.model.ZoneChange.WorkerListed;
import org.cicadaford.model.ZoneChange.WorkerQuarantined;
import org.cicadaford.model.ZoneChange.WorkerReleased;
import org.cicadaford.model.ZoneChange.WorkerUnlisted;

/**
 * Holds the workers, jobs and tasks of a zone with the indexes used by decisions. Every order
 * depends on the content only, so that a reader that started from a snapshot sees the same as one
 * that applied all records.
 */
final class ZoneTables {

  /** Time for which a closed job is kept for status requests, in milliseconds. */
  static final long CLOSED_JOB_RETENTION_MILLIS = 3_600_000;

  private final WorkerTable workers = new WorkerTable();
  private final Map<String, JobStatus> jobsById = new LinkedHashMap<>();
  private final Map<String, JobTasks> tasksByJob = new HashMap<>();
  private final Map<Long, String> waitingJobIds = new TreeMap<>();
  private final Map<Long, String> finishedJobIds = new TreeMap<>();
  private final TreeSet<JobStatus> closedJobs =
      new TreeSet<>(
          Comparator.comparingLong(JobStatus::closedAtMillis).thenComparing(JobStatus::jobId));
  private final Map<String, Resources> committedByTeam = new HashMap<>();
  private final WaitingIndex waitingIndex = new WaitingIndex();
  private long nextOrdinal;

  private static final class JobTasks {
    private final long ordinal;
    private final Map<Integer, TaskStatus> all = new TreeMap<>();
    private final Map<Integer, TaskStatus> waiting = new TreeMap<>();
    private int committedCount;

    JobTasks(long ordinal) {
      this.ordinal = ordinal;
    }
  }

  /** Applies a change of a batch of {@code epoch} and returns whether it was valid. */
  boolean apply(ZoneChange change, long epoch) {
    return switch (change) {
      case WorkerListed listed -> workers.list(listed);
      case WorkerUnlisted unlisted -> workers.unlist(unlisted);
      case JobAdmitted admitted -> admit(admitted);
      case TaskPlaced placed -> place(placed, epoch);
      case TaskStopping stopping -> stop(stopping);
      case TaskEnded ended -> end(ended);
      case JobClosed closed -> close(closed);
      case WorkerQuarantined quarantined ->
          workers.quarantine(
              quarantined.workerId(), quarantined.failureCount(), quarantined.untilMillis());
      case WorkerReleased released -> workers.quarantine(released.workerId(), 0, 0);
    };
  }

  private boolean admit(JobAdmitted admitted) {
    if (jobsById.containsKey(admitted.jobId())) {
      return false;
    }
    addJob(
        new JobStatus(
            admitted.jobId(),
            admitted.description(),
            admitted.submittedAtMillis(),
            JobState.ACTIVE,
            "",
            0));
    for (int index : admitted.taskIndexes()) {
      store(TaskStatus.waiting(new TaskId(admitted.jobId(), index)));
    }
    return true;
  }

  private void addJob(JobStatus job) {
    jobsById.put(job.jobId(), job);
    tasksByJob.put(job.jobId(), new JobTasks(nextOrdinal++));
  }

  private boolean place(TaskPlaced placed, long epoch) {
    TaskStatus task = task(placed.taskId());
    WorkerStatus worker = workers.worker(placed.workerId());
    if (task == null || worker == null || task.phase() != Phase.WAITING) {
      return false;
    }
    // A negative amount would pass the check and let others exceed the capacity.
    boolean fits =
        Resources.NONE.fitsIn(placed.reserved()) && placed.reserved().fitsIn(worker.free());
    if (!fits || placed.attempt() != task.attempt() + 1) {
      return false;
    }
    TaskStatus updated =
        task.placed(
            placed.attempt(), placed.workerId(), placed.reserved(), placed.placedAtMillis(), epoch);
    workers.commit(updated);
    addCommitted(updated, 1);
    store(updated);
    return true;
  }

  private boolean stop(TaskStopping stopping) {
    TaskStatus task = task(stopping.taskId());
    if (task == null || task.phase() != Phase.PLACED || task.attempt() != stopping.attempt()) {
      return false;
    }
    TaskStatus updated = task.stopping(stopping.reason());
    workers.replace(updated);
    store(updated);
    return true;
  }

  private boolean end(TaskEnded ended) {
    TaskStatus task = task(ended.taskId());
    if (task == null || !task.isCommitted() || task.attempt() != ended.attempt()) {
      return false;
    }
    workers.release(task);
    addCommitted(task, -1);
    JobStatus job = jobsById.get(ended.taskId().jobId());
    Phase next = TaskTransitionPolicy.phaseAfter(job, task, ended.end());
    store(task.ended(next, ended.end(), ended.answer(), ended.endedAtMillis()));
    return true;
  }

  private boolean close(JobClosed closed) {
    JobStatus job = jobsById.get(closed.jobId());
    if (job == null || job.state() != JobState.ACTIVE) {
      return false;
    }
    JobStatus updated = job.closed(closed.state(), closed.reason(), closed.closedAtMillis());
    jobsById.put(job.jobId(), updated);
    closedJobs.add(updated);
    for (TaskStatus task : List.copyOf(waitingTasksOf(job.jobId()))) {
      store(task.ended(Phase.ENDED, TaskEnd.CANCELLED, closed.reason(), closed.closedAtMillis()));
    }
    updateIndexes(updated.jobId());
    tasksOf(job.jobId()).stream()
        .filter(TaskStatus::isCommitted)
        .forEach(task -> workers.incrementRevision(task.workerId()));
    return true;
  }

  private void addCommitted(TaskStatus task, int sign) {
    tasksByJob.get(task.taskId().jobId()).committedCount += sign;
    String team = jobsById.get(task.taskId().jobId()).description().team();
    Resources sum =
        committedByTeam.getOrDefault(team, Resources.NONE).plus(task.reserved().times(sign));
    if (sum.equals(Resources.NONE)) {
      committedByTeam.remove(team);
    } else {
      committedByTeam.put(team, sum);
    }
  }

  private void store(TaskStatus task) {
    JobTasks tasks = tasksByJob.get(task.taskId().jobId());
    int index = task.taskId().index();
    int waitingBefore = tasks.waiting.size();
    tasks.all.put(index, task);
    if (task.phase() == Phase.WAITING) {
      tasks.waiting.put(index, task);
    } else {
      tasks.waiting.remove(index);
    }
    JobStatus job = jobsById.get(task.taskId().jobId());
    waitingIndex.update(job, waitingBefore, tasks.waiting.size());
    updateIndexes(job.jobId());
  }

  private void updateIndexes(String jobId) {
    JobTasks tasks = tasksByJob.get(jobId);
    boolean active = jobsById.get(jobId).state() == JobState.ACTIVE;
    setMember(waitingJobIds, tasks.ordinal, jobId, !tasks.waiting.isEmpty());
    boolean finished = active && tasks.waiting.isEmpty() && tasks.committedCount == 0;
    setMember(finishedJobIds, tasks.ordinal, jobId, finished);
  }

  private static void setMember(
      Map<Long, String> members, long ordinal, String jobId, boolean isMember) {
    if (isMember) {
      members.put(ordinal, jobId);
    } else {
      members.remove(ordinal);
    }
  }

  /**
   * Removes jobs that were closed long before {@code nowMillis}, the timestamp of the record being
   * applied, so that every reader removes the same jobs. A job with a placement that has not ended
   * is kept.
   */
  void removeExpiredJobs(long nowMillis) {
    Iterator<JobStatus> oldestFirst = closedJobs.iterator();
    while (oldestFirst.hasNext()) {
      JobStatus job = oldestFirst.next();
      if (job.closedAtMillis() + CLOSED_JOB_RETENTION_MILLIS >= nowMillis) {
        return;
      }
      if (tasksByJob.get(job.jobId()).committedCount == 0) {
        oldestFirst.remove();
        jobsById.remove(job.jobId());
        tasksByJob.remove(job.jobId());
      }
    }
  }

  void restore(ZoneSnapshotContent content) {
    workers.restore(content.workers());
    for (JobStatus job : content.jobs()) {
      addJob(job);
      if (job.state() != JobState.ACTIVE) {
        closedJobs.add(job);
      }
    }
    for (TaskStatus task : content.tasks()) {
      if (task.isCommitted()) {
        workers.restoreCommitted(task);
        addCommitted(task, 1);
      }
      store(task);
    }
    jobsById.keySet().forEach(this::updateIndexes);
  }

  WorkerStatus worker(String workerId) {
    return workers.worker(workerId);
  }

  Collection<WorkerStatus> workers() {
    return workers.workers();
  }

  JobStatus job(String jobId) {
    return jobsById.get(jobId);
  }

  Collection<JobStatus> jobs() {
    return Collections.unmodifiableCollection(jobsById.values());
  }

  Collection<JobStatus> waitingJobs() {
    return waitingJobIds.values().stream().map(jobsById::get).toList();
  }

  Collection<JobStatus> finishedJobs() {
    return finishedJobIds.values().stream().map(jobsById::get).toList();
  }

  TaskStatus task(TaskId taskId) {
    JobTasks tasks = tasksByJob.get(taskId.jobId());
    return tasks == null ? null : tasks.all.get(taskId.index());
  }

  Collection<TaskStatus> tasksOf(String jobId) {
    JobTasks tasks = tasksByJob.get(jobId);
    return tasks == null ? List.of() : Collections.unmodifiableCollection(tasks.all.values());
  }

  Collection<TaskStatus> waitingTasksOf(String jobId) {
    JobTasks tasks = tasksByJob.get(jobId);
    return tasks == null ? List.of() : Collections.unmodifiableCollection(tasks.waiting.values());
  }

  Collection<TaskStatus> committedTasksOn(String workerId) {
    return workers.committedTasksOn(workerId);
  }

  long workerRevision(String workerId) {
    return workers.revision(workerId);
  }

  int committedTaskCount(String jobId) {
    JobTasks tasks = tasksByJob.get(jobId);
    return tasks == null ? 0 : tasks.committedCount;
  }

  long committedMillicores(String team) {
    return committed(team).processorsMillicores();
  }

  Resources committed(String team) {
    return committedByTeam.getOrDefault(team, Resources.NONE);
  }

  Collection<String> teamsWithCommitted() {
    return Collections.unmodifiableCollection(committedByTeam.keySet());
  }

  WaitingIndex waitingIndex() {
    return waitingIndex;
  }

  WorkerChangeLog workerChangeLog() {
    return workers.changeLog();
  }

  int committedTaskCount() {
    return workers.committedTaskCount();
  }

  List<WorkerStatus> workerList() {
    return List.copyOf(workers.workers());
  }

  List<JobStatus> jobList() {
    return List.copyOf(jobsById.values());
  }

  List<TaskStatus> taskList() {
    return jobsById.keySet().stream().flatMap(jobId -> tasksOf(jobId).stream()).toList();
  }
}
