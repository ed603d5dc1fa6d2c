package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.List;
import org.cicadaford.cell.JobProgress.OccurrenceProgress;
import org.cicadaford.cell.JobProgress.TaskProgress;
import org.cicadaford.cell.JobProgress.WorkerKey;
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

  static RecordWrite progress(Job job) {
    boolean idle = job.phase().terminal() && job.placements().isEmpty();
    byte[] content =
        idle
            ? EndedJobCodec.encode(job.queueName(), job.team(), job.phase(), job.endedAtMillis())
            : RecordCodec.encode(progressOf(job));
    return new RecordWrite(PROGRESS_PREFIX + job.id(), content);
  }

  static RecordWrite progressDeletion(Job job) {
    return new RecordWrite(PROGRESS_PREFIX + job.id(), DELETED);
  }

  static RecordWrite definitionDeletion(Job job) {
    return new RecordWrite(DEFINITION_PREFIX + job.id(), DELETED);
  }

  private static JobProgress progressOf(Job job) {
    List<WorkerKey> workers = new ArrayList<>();
    List<OccurrenceProgress> occurrences = new ArrayList<>();
    job.occurrences()
        .forEach(
            (occurrence, steps) -> {
              List<TaskProgress> tasks = new ArrayList<>();
              for (StepRun step : steps) {
                step.tasks().forEach(task -> tasks.add(progressOf(task, workers)));
              }
              occurrences.add(new OccurrenceProgress(occurrence, tasks));
            });
    return new JobProgress(
        job.queueName(),
        job.team(),
        job.phase(),
        job.endedAtMillis(),
        workers,
        List.copyOf(job.doneOccurrences()),
        occurrences);
  }

  private static TaskProgress progressOf(Task task, List<WorkerKey> workers) {
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
        task.checkpoint(),
        task.crashCount(),
        task.startLossCount(),
        task.lastLostRun());
  }
}
