package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cicadaford.cell.JobProgress.OccurrenceProgress;
import org.cicadaford.cell.JobProgress.TaskProgress;
import org.cicadaford.cell.JobProgress.WorkerKey;
import org.cicadaford.cell.occurrences.OccurrenceRanges;
import org.cicadaford.model.RecordCodec;

/** Creates the stored records of a job and defines their keys. */
final class JobRecordFactory {

  /** Key prefix of {@link JobDefinition} records. */
  static final String DEFINITION_PREFIX = "d/";

  /** Key prefix of {@link JobProgress} records. */
  static final String PROGRESS_PREFIX = "p/";

  private static final byte[] DELETED = new byte[0];

  private JobRecordFactory() {}

  static RecordWrite definition(Job job) {
    return new RecordWrite(DEFINITION_PREFIX + job.id(), RecordCodec.encode(job.definition()));
  }

  /**
   * Returns the progress of a job, in the form that {@link ProgressForm} states.
   *
   * <p>Checkpoints are chosen by the workers and may have any length. Those that do not fit the
   * limit of a record are left out, the longest first; after a takeover, their tasks begin anew.
   */
  static RecordWrite progress(Job job) {
    String key = PROGRESS_PREFIX + job.id();
    ProgressForm form = ProgressForm.of(job);
    if (form == ProgressForm.ENDED) {
      return new RecordWrite(
          key, EndedJobCodec.encode(job.queueName(), job.team(), job.phase(), job.endedAtMillis()));
    }
    RecordWrite write = new RecordWrite(key, encode(job, form, Set.of()));
    if (!RecordLimits.isTooLarge(write)) {
      return write;
    }
    long excessBytes = RecordLimits.sizeOf(write) - RecordLimits.MAX_RECORD_BYTES;
    return new RecordWrite(key, encode(job, form, longestCheckpoints(job, excessBytes)));
  }

  /** Returns the tasks whose checkpoints are the longest and have that many characters. */
  private static Set<Task> longestCheckpoints(Job job, long length) {
    List<Task> tasks = new ArrayList<>();
    job.occurrences().values().forEach(steps -> steps.forEach(step -> tasks.addAll(step.tasks())));
    tasks.sort(Comparator.comparingInt((Task task) -> task.checkpoint().length()).reversed());
    Set<Task> longest = new HashSet<>();
    long left = length;
    for (Task task : tasks) {
      if (left > 0 && !task.checkpoint().isEmpty()) {
        longest.add(task);
        left -= task.checkpoint().length();
      }
    }
    return longest;
  }

  static RecordWrite progressDeletion(Job job) {
    return new RecordWrite(PROGRESS_PREFIX + job.id(), DELETED);
  }

  static RecordWrite definitionDeletion(Job job) {
    return new RecordWrite(DEFINITION_PREFIX + job.id(), DELETED);
  }

  private static byte[] encode(Job job, ProgressForm form, Set<Task> withoutCheckpoint) {
    boolean runsOnly = form == ProgressForm.RUNS_ONLY;
    List<WorkerKey> workers = new ArrayList<>();
    List<OccurrenceProgress> occurrences = new ArrayList<>();
    job.occurrences()
        .forEach(
            (occurrence, steps) -> {
              if (runsOnly && !Job.hasPlacement(steps)) {
                return;
              }
              List<TaskProgress> tasks = new ArrayList<>();
              for (StepRun step : steps) {
                for (Task task : step.tasks()) {
                  boolean bare = runsOnly || withoutCheckpoint.contains(task);
                  tasks.add(progressOf(task, workers, bare ? "" : task.checkpoint()));
                }
              }
              occurrences.add(new OccurrenceProgress(occurrence, tasks));
            });
    return RecordCodec.encode(
        new JobProgress(
            job.queueName(),
            job.team(),
            job.phase(),
            job.endedAtMillis(),
            workers,
            runsOnly ? new OccurrenceRanges() : job.doneOccurrences(),
            occurrences,
            job.begun()));
  }

  private static TaskProgress progressOf(Task task, List<WorkerKey> workers, String checkpoint) {
    int workerIndex = -1;
    Placement placement = task.placement();
    if (placement != null) {
      WorkerKey key = new WorkerKey(placement.worker().id(), placement.incarnation());
      workerIndex = workers.indexOf(key);
      if (workerIndex < 0) {
        workerIndex = workers.size();
        workers.add(key);
      }
    }
    return new TaskProgress(
        task.done(),
        task.lastRun(),
        task.failedCount(),
        workerIndex,
        checkpoint,
        task.crashCount(),
        task.startLossCount(),
        task.lastLostRun());
  }
}
