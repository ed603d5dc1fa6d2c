package org.cicadaford.decision;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cicadaford.decision.TaskStatus.Phase;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobKind;
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

/** Workers, jobs and tasks of a zone with the indexes that decisions read. */
final class ZoneTables {

  /** Failed placements after which a task is not placed again. */
  static final int MAX_TASK_FAILURES = 5;

  /** Time for which an ended job is kept for callers who ask, in milliseconds. */
  static final long CLOSED_JOB_KEPT_MILLIS = 3_600_000;

  private final Map<String, WorkerStatus> workersById = new TreeMap<>();
  private final Map<String, Map<TaskId, TaskStatus>> committedByWorker = new HashMap<>();
  private final Map<String, JobStatus> jobsById = new LinkedHashMap<>();
  private final Map<String, JobStatus> waitingJobsById = new LinkedHashMap<>();
  private final Map<String, JobTasks> tasksByJob = new HashMap<>();
  private final Map<String, Resources> committedByTeam = new HashMap<>();
  private final WaitingIndex waitingIndex = new WaitingIndex();
  private final WorkerJournal workerJournal = new WorkerJournal();
  private final Deque<JobStatus> closedJobs = new ArrayDeque<>();
  private int committedTaskCount;

  private static final class JobTasks {
    private final Map<Integer, TaskStatus> all = new TreeMap<>();
    private final Map<Integer, TaskStatus> waiting = new TreeMap<>();
    private int committedCount;
  }

  /** Applies a change and returns whether it was valid. */
  boolean apply(ZoneChange change) {
    return switch (change) {
      case WorkerListed listed -> listWorker(listed);
      case WorkerUnlisted unlisted -> unlistWorker(unlisted);
      case JobAdmitted admitted -> admit(admitted);
      case TaskPlaced placed -> place(placed);
      case TaskStopping stopping -> stop(stopping);
      case TaskEnded ended -> end(ended);
      case JobClosed closed -> close(closed);
      case WorkerQuarantined quarantined ->
          quarantine(quarantined.workerId(), quarantined.failureCount(), quarantined.untilMillis());
      case WorkerReleased released -> quarantine(released.workerId(), 0, 0);
    };
  }

  private boolean listWorker(WorkerListed listed) {
    WorkerStatus worker = workersById.get(listed.workerId());
    WorkerStatus updated =
        worker == null
            ? new WorkerStatus(
                listed.workerId(), listed.rack(), listed.capacity(), Resources.NONE, 0, 0, 0)
            : worker.withCapacity(listed.rack(), listed.capacity());
    if (!updated.committed().fitsIn(listed.capacity())) {
      return false;
    }
    putWorker(updated);
    return true;
  }

  private boolean unlistWorker(WorkerUnlisted unlisted) {
    WorkerStatus worker = workersById.get(unlisted.workerId());
    if (worker == null || worker.taskCount() > 0) {
      return false;
    }
    workersById.remove(unlisted.workerId());
    workerJournal.note(unlisted.workerId());
    workerJournal.prune(workersById.size(), workersById::containsKey);
    committedByWorker.remove(unlisted.workerId());
    return true;
  }

  private boolean admit(JobAdmitted admitted) {
    if (jobsById.containsKey(admitted.jobId())) {
      return false;
    }
    JobStatus job =
        new JobStatus(
            admitted.jobId(),
            admitted.description(),
            admitted.submittedAtMillis(),
            JobState.ACTIVE,
            "",
            0);
    jobsById.put(job.jobId(), job);
    tasksByJob.put(job.jobId(), new JobTasks());
    for (int index : admitted.taskIndexes()) {
      store(job, TaskStatus.waiting(new TaskId(job.jobId(), index)));
    }
    return true;
  }

  private boolean place(TaskPlaced placed) {
    TaskStatus task = task(placed.taskId());
    WorkerStatus worker = workersById.get(placed.workerId());
    if (task == null || worker == null || task.phase() != Phase.WAITING) {
      return false;
    }
    if (placed.attempt() != task.attempt() + 1 || !placed.reserved().fitsIn(worker.free())) {
      return false;
    }
    TaskStatus updated =
        task.placed(
            placed.attempt(), placed.workerId(), placed.reserved(), placed.placedAtMillis());
    commit(updated, worker);
    store(jobsById.get(placed.taskId().jobId()), updated);
    return true;
  }

  private boolean stop(TaskStopping stopping) {
    TaskStatus task = task(stopping.taskId());
    if (task == null || task.phase() != Phase.PLACED || task.attempt() != stopping.attempt()) {
      return false;
    }
    TaskStatus updated = task.stopping(stopping.reason());
    committedByWorker.get(task.workerId()).put(task.taskId(), updated);
    store(jobsById.get(stopping.taskId().jobId()), updated);
    return true;
  }

  private boolean end(TaskEnded ended) {
    TaskStatus task = task(ended.taskId());
    if (task == null || !task.isCommitted() || task.attempt() != ended.attempt()) {
      return false;
    }
    release(task);
    JobStatus job = jobsById.get(ended.taskId().jobId());
    Phase next = nextPhase(job, task, ended.end());
    store(job, task.ended(next, ended.end(), ended.answer(), ended.endedAtMillis()));
    return true;
  }

  private static Phase nextPhase(JobStatus job, TaskStatus task, TaskEnd end) {
    if (job.state() != JobState.ACTIVE) {
      return Phase.ENDED;
    }
    JobDescription description = job.description();
    boolean isService = description.kind() == JobKind.SERVICE;
    boolean mayRunAgain = description.repeatable() || isService;
    boolean waits =
        switch (end) {
          case COMPLETED -> isService;
          case CANCELLED -> false;
          case NOT_STARTED -> true;
          case FAILED -> isService || mayRunAgain && task.failureCount() + 1 < MAX_TASK_FAILURES;
          case LOST -> mayRunAgain;
          case PREEMPTED, EVACUATED -> mayRunAgain || description.checkpointable();
        };
    return waits ? Phase.WAITING : Phase.ENDED;
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
      store(
          updated,
          task.ended(Phase.ENDED, TaskEnd.CANCELLED, closed.reason(), closed.closedAtMillis()));
    }
    return true;
  }

  private boolean quarantine(String workerId, int failureCount, long untilMillis) {
    WorkerStatus worker = workersById.get(workerId);
    if (worker == null) {
      return false;
    }
    putWorker(worker.withQuarantine(failureCount, untilMillis));
    return true;
  }

  private void commit(TaskStatus task, WorkerStatus worker) {
    Resources committed = worker.committed().plus(task.reserved());
    putWorker(worker.withCommitted(committed, worker.taskCount() + 1));
    committedByWorker
        .computeIfAbsent(worker.workerId(), id -> new LinkedHashMap<>())
        .put(task.taskId(), task);
    addToTeam(task, task.reserved());
    tasksByJob.get(task.taskId().jobId()).committedCount++;
    committedTaskCount++;
  }

  private void release(TaskStatus task) {
    WorkerStatus worker = workersById.get(task.workerId());
    Resources committed = worker.committed().minus(task.reserved());
    putWorker(worker.withCommitted(committed, worker.taskCount() - 1));
    committedByWorker.get(task.workerId()).remove(task.taskId());
    addToTeam(task, Resources.NONE.minus(task.reserved()));
    tasksByJob.get(task.taskId().jobId()).committedCount--;
    committedTaskCount--;
  }

  private void addToTeam(TaskStatus task, Resources amounts) {
    String team = jobsById.get(task.taskId().jobId()).description().team();
    Resources sum = committedByTeam.getOrDefault(team, Resources.NONE).plus(amounts);
    if (sum.equals(Resources.NONE)) {
      committedByTeam.remove(team);
    } else {
      committedByTeam.put(team, sum);
    }
  }

  private void putWorker(WorkerStatus worker) {
    workersById.put(worker.workerId(), worker);
    workerJournal.note(worker.workerId());
  }

  private void store(JobStatus job, TaskStatus task) {
    JobTasks tasks = tasksByJob.get(job.jobId());
    int index = task.taskId().index();
    int waitingBefore = tasks.waiting.size();
    tasks.all.put(index, task);
    if (task.phase() == Phase.WAITING) {
      tasks.waiting.put(index, task);
      waitingJobsById.put(job.jobId(), job);
    } else {
      tasks.waiting.remove(index);
      if (tasks.waiting.isEmpty()) {
        waitingJobsById.remove(job.jobId());
      }
    }
    waitingIndex.update(job, waitingBefore, tasks.waiting.size());
  }

  /**
   * Forgets jobs that ended long before {@code nowMillis}, the clock of the record being applied,
   * so that every reader forgets the same jobs.
   */
  void forgetClosedJobs(long nowMillis) {
    while (!closedJobs.isEmpty()
        && closedJobs.peek().closedAtMillis() + CLOSED_JOB_KEPT_MILLIS < nowMillis) {
      JobStatus job = closedJobs.remove();
      if (tasksOf(job.jobId()).stream().anyMatch(TaskStatus::isCommitted)) {
        closedJobs.add(job.closed(job.state(), job.reason(), nowMillis));
      } else {
        jobsById.remove(job.jobId());
        tasksByJob.remove(job.jobId());
      }
    }
  }

  void fill(ZoneSnapshotContent content) {
    content.workers().forEach(this::putWorker);
    for (JobStatus job : content.jobs()) {
      jobsById.put(job.jobId(), job);
      tasksByJob.put(job.jobId(), new JobTasks());
      if (job.state() != JobState.ACTIVE) {
        closedJobs.add(job);
      }
    }
    List<JobStatus> sorted =
        closedJobs.stream().sorted(Comparator.comparingLong(JobStatus::closedAtMillis)).toList();
    closedJobs.clear();
    closedJobs.addAll(sorted);
    for (TaskStatus task : content.tasks()) {
      store(jobsById.get(task.taskId().jobId()), task);
      if (task.isCommitted()) {
        restoreCommitted(task);
      }
    }
  }

  private void restoreCommitted(TaskStatus task) {
    committedByWorker
        .computeIfAbsent(task.workerId(), id -> new LinkedHashMap<>())
        .put(task.taskId(), task);
    addToTeam(task, task.reserved());
    tasksByJob.get(task.taskId().jobId()).committedCount++;
    committedTaskCount++;
  }

  WorkerStatus worker(String workerId) {
    return workersById.get(workerId);
  }

  Collection<WorkerStatus> workers() {
    return Collections.unmodifiableCollection(workersById.values());
  }

  JobStatus job(String jobId) {
    return jobsById.get(jobId);
  }

  Collection<JobStatus> jobs() {
    return Collections.unmodifiableCollection(jobsById.values());
  }

  Collection<JobStatus> waitingJobs() {
    return Collections.unmodifiableCollection(waitingJobsById.values());
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
    return Collections.unmodifiableCollection(
        committedByWorker.getOrDefault(workerId, Map.of()).values());
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

  WorkerJournal workerJournal() {
    return workerJournal;
  }

  int committedTaskCount() {
    return committedTaskCount;
  }

  List<WorkerStatus> workerList() {
    return List.copyOf(workersById.values());
  }

  List<JobStatus> jobList() {
    return List.copyOf(jobsById.values());
  }

  List<TaskStatus> taskList() {
    return tasksByJob.values().stream().flatMap(tasks -> tasks.all.values().stream()).toList();
  }
}
