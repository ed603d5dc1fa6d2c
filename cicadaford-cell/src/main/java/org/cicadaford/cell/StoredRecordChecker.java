package org.cicadaford.cell;

import java.util.List;
import org.cicadaford.cell.JobProgress.OccurrenceProgress;
import org.cicadaford.cell.JobProgress.TaskProgress;
import org.cicadaford.cell.JobProgress.WorkerKey;
import org.cicadaford.model.MalformedRecordException;

/**
 * Checks the values of stored records after their decoding.
 *
 * <p>The decoder fills in null or 0 for values that a record lacks. Such a record failed the start
 * of each coordinator, so that the cell had none; it now counts as one that cannot be decoded.
 */
final class StoredRecordChecker {

  private StoredRecordChecker() {}

  static void check(JobDefinition definition, String jobId) throws MalformedRecordException {
    Queue queue = definition.queue();
    boolean valid =
        jobId.equals(definition.jobId())
            && definition.team() != null
            && queue != null
            && queue.name() != null
            && queue.service() != null
            && queue.advice() != null
            && definition.spec() != null;
    require(valid, JobDefinition.class, null);
    try {
      JobSpecValidator.check(definition.spec());
    } catch (InvalidJobException e) {
      require(false, JobDefinition.class, e);
    }
  }

  /** Checks the progress of a job on its own; {@link #fits} checks it against the definition. */
  static void check(JobProgress progress) throws MalformedRecordException {
    boolean valid =
        progress.queue() != null
            && progress.team() != null
            && progress.phase() != null
            && noNulls(progress.workers())
            && progress.doneOccurrences() != null
            && noNulls(progress.occurrences());
    require(valid, JobProgress.class, null);
    for (WorkerKey worker : progress.workers()) {
      require(worker.id() != null, WorkerKey.class, null);
    }
    for (OccurrenceProgress occurrence : progress.occurrences()) {
      require(
          occurrence.occurrence() >= 0 && noNulls(occurrence.tasks()),
          OccurrenceProgress.class,
          null);
      for (TaskProgress task : occurrence.tasks()) {
        require(isValid(task, progress.workers().size()), TaskProgress.class, null);
      }
    }
  }

  private static boolean isValid(TaskProgress task, int workerCount) {
    return task.lastRun() >= 0
        && task.failedCount() >= 0
        && task.workerIndex() >= -1
        && task.workerIndex() < workerCount
        && task.checkpoint() != null;
  }

  /** Returns whether all occurrences in the progress belong to the job. */
  static boolean fits(JobProgress progress, JobSpec spec) {
    int runCount = spec.runCount();
    return progress.doneOccurrences().allBelow(runCount)
        && progress.occurrences().stream().allMatch(one -> one.occurrence() < runCount);
  }

  private static boolean noNulls(List<?> values) {
    // List.contains fails for null in immutable lists.
    return values != null && values.stream().allMatch(value -> value != null);
  }

  private static void require(boolean condition, Class<?> type, Throwable cause)
      throws MalformedRecordException {
    if (!condition) {
      throw new MalformedRecordException(type, cause);
    }
  }
}
