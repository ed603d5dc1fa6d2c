package org.cicadaford.cell;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

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

  /** Jobs whose records are deleted by the next batch, as their end cannot be stored. */
  private final Set<Job> givenUp = new LinkedHashSet<>();

  RefusedRecordHandler(CellState state, RunEndHandler endHandler) {
    this.state = state;
    this.endHandler = endHandler;
  }

  /**
   * Returns whether the ends of runs must not be acknowledged: the end of a run of a refused job is
   * not stored, and after a takeover its task would start again. It lasts until the runs of the job
   * have been stopped and its end, or the deletion of its records, is stored.
   */
  boolean holdsEnds() {
    // A job may be removed, at the end of its retention, before its newest state is stored.
    refusedForms.keySet().removeIf(job -> state.jobs().get(job.id()) != job);
    return !refusedForms.isEmpty();
  }

  /**
   * Returns whether no record of a job can be stored now: until its runs have ended, or until its
   * records are deleted.
   */
  boolean mustWait(Job job) {
    ProgressForm refused = refusedForms.get(job);
    return refused == ProgressForm.ENDED
        || refused == ProgressForm.RUNS_ONLY && ProgressForm.of(job) == ProgressForm.RUNS_ONLY;
  }

  /** Returns whether an action confirms a request on a job whose record must wait. */
  boolean mustWait(Action action) {
    return refusedForms.keySet().stream().anyMatch(job -> confirms(action, job) && mustWait(job));
  }

  /** Returns and removes the jobs whose records are deleted by the next batch. */
  List<Job> takeGivenUp() {
    List<Job> taken = List.copyOf(givenUp);
    givenUp.clear();
    return taken;
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
      EarlyCancellation refused = EarlyCancellations.decode(write);
      state.earlyCancellations().discard(write.key());
      String jobId = EarlyCancellations.jobIdOf(write.key());
      Action confirmation = new Action.ConfirmCancellation(jobId, refused.queue(), refused.team());
      // A repeated cancellation is confirmed twice.
      batchActions.removeIf(confirmation::equals);
      state.actions().add(new Action.RejectCancellation(jobId, refused.queue(), refused.team()));
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
      if (confirms(action, job)) {
        batchActions.remove(action);
        state.actionsAfterStore().add(action);
      }
    }
  }

  /**
   * Removes the records of a job whose end cannot be stored, so that it does not run again. Its end
   * is shown, and its requests are rejected, once the deletions are stored.
   */
  private void giveUp(Job job, List<Action> batchActions) {
    state.jobsToStore().remove(job);
    batchActions.removeIf(action -> confirms(action, job));
    Action rejection = new Action.RejectRequests(job.id(), job.queueName(), job.team());
    if (!job.stored()) {
      refusedForms.remove(job);
      state.jobs().remove(job.id());
      state.actions().add(rejection);
    } else if (refusedForms.put(job, ProgressForm.ENDED) == ProgressForm.ENDED) {
      // The store refuses the deletions too, and they must not be sent again unchanged.
      refusedForms.remove(job);
      state.markStored(job, job.phase());
      state.actions().add(rejection);
    } else {
      state.otherWrites().add(JobRecordFactory.definitionDeletion(job));
      state.otherWrites().add(JobRecordFactory.progressDeletion(job));
      state.actionsAfterStore().add(rejection);
      givenUp.add(job);
    }
  }

  private static boolean confirms(Action action, Job job) {
    return switch (action) {
      case Action.ConfirmSubmission submission -> submission.jobId().equals(job.id());
      case Action.ConfirmCancellation cancellation ->
          cancellation.jobId().equals(job.id())
              && cancellation.queue().equals(job.queueName())
              && cancellation.team().equals(job.team());
      default -> false;
    };
  }
}
