package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cicadaford.cell.JobProgress.OccurrenceProgress;
import org.cicadaford.cell.JobProgress.TaskProgress;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.model.RecordCodec;

/** Restores the state of a cell from its stored records. */
final class JobRestorer {

  private final CellState state;
  private final WorkerMonitor monitor;

  JobRestorer(CellState state, WorkerMonitor monitor) {
    this.state = state;
    this.monitor = monitor;
  }

  /**
   * Restores all jobs; returns the keys of records that cannot be decoded. A job whose progress
   * cannot be decoded fails, because its tasks must not run again.
   */
  List<String> restore(List<RecordWrite> records, ClockReading now) {
    if (!records.isEmpty()) {
      // Without any record, this is taken for the first coordinator of the cell.
      state.takenOver(now.monotonicMillis());
    }
    List<String> unreadable = new ArrayList<>();
    Map<String, JobProgress> progressById = new HashMap<>();
    for (RecordWrite write : records) {
      try {
        decode(write, progressById);
      } catch (MalformedRecordException e) {
        unreadable.add(write.key());
      }
    }
    state.earlyCancellations().sortByAge();
    progressById.forEach(
        (jobId, progress) -> {
          if (progress.phase().terminal()) {
            state.jobs().computeIfAbsent(jobId, id -> Job.ended(id, progress));
          }
        });
    state.otherWrites().addAll(state.faultHistory().retainJobs(state.jobs().keySet()));
    for (Job job : state.jobs().values()) {
      JobProgress progress = progressById.get(job.id());
      String progressKey = JobRecordFactory.PROGRESS_PREFIX + job.id();
      Optional<RunFault> fault = state.faultHistory().exhausted(job.id());
      if (fault.isPresent()) {
        giveUp(job, fault.get(), progress, now);
      } else if (progress != null && StoredRecordChecker.fits(progress, job.spec())) {
        apply(job, progress, now);
      } else if (progress != null) {
        unreadable.add(progressKey);
      }
      if (unreadable.contains(progressKey)) {
        fail(job, now);
      }
      state.markStored(job, job.phase());
      if (job.definitionObsolete()) {
        state.markForStore(job);
      }
      if (!job.phase().terminal()) {
        if (job.spec().recurring()) {
          state.recurringJobs().add(job);
        } else if (job.occurrences().isEmpty()) {
          job.beginOccurrence(0);
        }
        job.occurrences().values().forEach(steps -> steps.forEach(state::enqueueIfPlaceable));
      }
    }
    return unreadable;
  }

  private void decode(RecordWrite write, Map<String, JobProgress> progressById)
      throws MalformedRecordException {
    if (write.key().startsWith(JobRecordFactory.DEFINITION_PREFIX)) {
      JobDefinition definition = RecordCodec.decode(write.value(), JobDefinition.class);
      StoredRecordChecker.check(
          definition, write.key().substring(JobRecordFactory.DEFINITION_PREFIX.length()));
      state.jobs().put(definition.jobId(), new Job(definition));
    } else if (write.key().startsWith(JobRecordFactory.PROGRESS_PREFIX)) {
      String jobId = write.key().substring(JobRecordFactory.PROGRESS_PREFIX.length());
      JobProgress progress =
          EndedJobCodec.isCompact(write.value())
              ? EndedJobCodec.decode(write.value())
              : RecordCodec.decode(write.value(), JobProgress.class);
      StoredRecordChecker.check(progress);
      progressById.put(jobId, progress);
    } else if (EarlyCancellations.isKey(write.key())) {
      state.earlyCancellations().restore(write);
    } else if (FaultHistory.isKey(write.key())) {
      state.faultHistory().restore(write);
    }
  }

  private void fail(Job job, ClockReading now) {
    job.phase(JobPhase.FAILED);
    job.endedAtMillis(now.unixMillis());
    state.markForStore(job);
  }

  /**
   * Gives up a job because of a run that coordinators have met internal faults on. Its runs are not
   * placed, as the fault may lie in their accounting. Workers that list them are told to stop them
   * and get no other work until they have.
   */
  private void giveUp(Job job, RunFault fault, JobProgress progress, ClockReading now) {
    if (progress != null && progress.phase().terminal()) {
      job.phase(progress.phase());
      job.endedAtMillis(progress.endedAtMillis());
    } else {
      fail(job, now);
    }
    String inputs = "task=" + fault.task() + " run=" + fault.run() + " faults=" + fault.count();
    state.actions().add(new Action.ReportDecision("fault", job.id(), "given-up", inputs));
  }

  private void apply(Job job, JobProgress progress, ClockReading now) {
    job.phase(progress.phase());
    job.endedAtMillis(progress.endedAtMillis());
    job.doneOccurrences().addAll(progress.doneOccurrences());
    state.pendingJobs().restore(job, startOf(progress));
    for (OccurrenceProgress stored : progress.occurrences()) {
      List<Task> tasks = new ArrayList<>();
      job.beginOccurrence(stored.occurrence()).forEach(step -> tasks.addAll(step.tasks()));
      for (int index = 0; index < Math.min(tasks.size(), stored.tasks().size()); index++) {
        apply(tasks.get(index), stored.tasks().get(index), progress, now);
      }
    }
  }

  /**
   * Returns what a record tells of the start of a job. A placement alone is no start: its order may
   * never have reached the worker.
   */
  private static JobStart startOf(JobProgress progress) {
    boolean begun = progress.begun() || progress.doneOccurrences().count() > 0;
    boolean placed = false;
    for (OccurrenceProgress occurrence : progress.occurrences()) {
      for (TaskProgress task : occurrence.tasks()) {
        begun |= showsStart(task);
        placed |= task.workerIndex() >= 0;
      }
    }
    if (begun) {
      return JobStart.BEGUN;
    }
    return placed ? JobStart.UNKNOWN : JobStart.PENDING;
  }

  /** Returns whether the record of a task shows that a run of it has started. */
  private static boolean showsStart(TaskProgress stored) {
    return stored.done() || stored.failedCount() > 0 || !stored.checkpoint().isEmpty();
  }

  private void apply(Task task, TaskProgress stored, JobProgress progress, ClockReading now) {
    task.lastRun(stored.lastRun());
    task.failedCount(stored.failedCount());
    task.losses(stored.crashCount(), stored.startLossCount());
    task.lastLostRun(stored.lastLostRun());
    task.checkpoint(stored.checkpoint());
    if (stored.done()) {
      task.markDone();
    }
    if (stored.workerIndex() < 0) {
      return;
    }
    JobProgress.WorkerKey key = progress.workers().get(stored.workerIndex());
    long nowMillis = now.monotonicMillis();
    Worker worker = monitor.workerOfPlacement(key.id(), key.incarnation());
    Placement placement =
        new Placement(task, stored.lastRun(), worker, key.incarnation(), nowMillis);
    placement.markRestored(state.events().next(), nowMillis);
    state.place(placement);
    if (task.suspected()) {
      worker.startSurvival().isolate(placement);
    }
    if (task.step().job().phase().terminal()) {
      state.requestStop(placement, StopReason.CANCELLED);
    } else if (task.done()) {
      state.requestStop(placement, StopReason.DONE_BEFORE);
    }
  }
}
