package org.cicadaford.cell;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Handles records that the store refuses for their content, so that they harm only their job.
 *
 * <p>The job fails. Its next record has a smaller {@link ProgressForm}, since a refused one is
 * never stored unchanged; when the smallest one is refused too, the job ends without a record.
 * Designed for a few refused jobs among thousands.
 */
final class RefusedRecordHandler {

  private final CellState state;
  private final RunEndHandler endHandler;

  /** Jobs whose newest state is not stored, by the form of their progress that was refused. */
  private final Map<Job, ProgressForm> refusedForms = new HashMap<>();

  RefusedRecordHandler(CellState state, RunEndHandler endHandler) {
    this.state = state;
    this.endHandler = endHandler;
  }

  /**
   * Returns whether the ends of runs must not be acknowledged: the end of a run of a refused job is
   * not stored, and after a takeover its task would start again. It lasts until the runs of the job
   * have been stopped.
   */
  boolean holdsEnds() {
    return !refusedForms.isEmpty();
  }

  /** Returns whether the record of a job can be stored only once its runs have ended. */
  boolean mustWait(Job job) {
    return ProgressForm.of(job) == ProgressForm.RUNS_ONLY
        && refusedForms.get(job) == ProgressForm.RUNS_ONLY;
  }

  /** Records that the newest state of a job is stored. */
  void stored(Job job) {
    refusedForms.remove(job);
  }

  /** Handles a refused record beside those of jobs; its dependent actions are removed. */
  void refuse(RecordWrite write, List<Action> batchActions) {
    String inputs = "key=" + write.key() + " bytes=" + RecordLimits.sizeOf(write);
    state.actions().add(new Action.ReportDecision("record", write.owner(), "refused", inputs));
    if (EarlyCancellations.isKey(write.key()) && write.value().length > 0) {
      state.earlyCancellations().discard(write.key());
      rejectRequests(EarlyCancellations.jobIdOf(write.key()), batchActions);
    }
  }

  /**
   * Handles the refused records of a job.
   *
   * @param form form of its progress that is refused
   * @param batchActions actions that depend on the batch; those on the job are removed
   */
  void refuse(Job job, ProgressForm form, List<Action> batchActions, ClockReading now) {
    if (form == ProgressForm.ENDED) {
      giveUp(job, batchActions);
      return;
    }
    refusedForms.put(job, form);
    job.definitionNotDeleted();
    if (job.phase().terminal()) {
      state.markForStore(job);
    } else {
      endHandler.failJob(job, now);
    }
    // The requests are answered once a smaller record is stored.
    for (Action action : List.copyOf(batchActions)) {
      if (confirms(action, job.id())) {
        batchActions.remove(action);
        state.actionsAfterStore().add(action);
      }
    }
  }

  /** Removes the records of a job whose end cannot be stored, so that it does not run again. */
  private void giveUp(Job job, List<Action> batchActions) {
    refusedForms.remove(job);
    state.jobsToStore().remove(job);
    rejectRequests(job.id(), batchActions);
    if (job.stored()) {
      state.markStored(job, job.phase());
      state.otherWrites().add(JobRecordFactory.definitionDeletion(job));
      state.otherWrites().add(JobRecordFactory.progressDeletion(job));
    } else {
      state.jobs().remove(job.id());
    }
  }

  private void rejectRequests(String jobId, List<Action> batchActions) {
    batchActions.removeIf(action -> confirms(action, jobId));
    state.actions().add(new Action.RejectRequests(jobId));
  }

  private static boolean confirms(Action action, String jobId) {
    return switch (action) {
      case Action.ConfirmSubmission submission -> submission.jobId().equals(jobId);
      case Action.ConfirmCancellation cancellation -> cancellation.jobId().equals(jobId);
      default -> false;
    };
  }
}
