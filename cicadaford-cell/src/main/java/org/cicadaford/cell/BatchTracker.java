package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Collects the changes of each batch, and applies what depends on them once they are stored. */
final class BatchTracker {

  /** Run ends of a worker, up to a number, whose effects are in the current batch. */
  private record StoredEnds(Worker worker, long incarnation, long number) {

    void apply() {
      if (worker.incarnation() == incarnation) {
        worker.ends().stored(number);
      }
    }
  }

  /** State of a job as it is stored with the current batch. */
  private record BatchedJob(JobPhase phase, ProgressForm form) {}

  private final CellState state;
  private final StartIssuer startIssuer;
  private final RefusedRecordHandler refusedRecordHandler;
  private final Map<Job, BatchedJob> batchJobs = new LinkedHashMap<>();
  private final List<Placement> batchStarts = new ArrayList<>();
  private final List<Action> batchActions = new ArrayList<>();
  private final List<StoredEnds> batchEnds = new ArrayList<>();
  private boolean batchOpen;

  BatchTracker(
      CellState state, StartIssuer startIssuer, RefusedRecordHandler refusedRecordHandler) {
    this.state = state;
    this.startIssuer = startIssuer;
    this.refusedRecordHandler = refusedRecordHandler;
  }

  /** Returns the changes to store, unless there are none or a batch is still being stored. */
  Optional<Batch> take() {
    boolean holdsEnds = refusedRecordHandler.holdsEnds();
    boolean noChanges =
        state.jobsToStore().stream().allMatch(refusedRecordHandler::mustWait)
            && state.otherWrites().isEmpty()
            && state.actionsAfterStore().stream().allMatch(refusedRecordHandler::mustWait);
    if (batchOpen || (noChanges && (holdsEnds || state.workersWithUnstoredEnds().isEmpty()))) {
      return Optional.empty();
    }
    List<RecordWrite> writes = new ArrayList<>(state.otherWrites());
    for (Job job : state.jobsToStore()) {
      if (refusedRecordHandler.mustWait(job)) {
        // The release of its last placement marks it again.
        continue;
      }
      if (!job.stored() && job.phase().terminal() && job.placements().isEmpty()) {
        // Nothing would delete the definition, as the job has no further change.
        job.markDefinitionDeleted();
      } else if (!job.stored()) {
        writes.add(JobRecordFactory.definition(job));
      }
      writes.add(JobRecordFactory.progress(job));
      job.markRecorded();
      if (job.definitionObsolete()) {
        job.markDefinitionDeleted();
        writes.add(JobRecordFactory.definitionDeletion(job));
      }
      batchJobs.put(job, new BatchedJob(job.phase(), ProgressForm.of(job)));
    }
    for (Job job : refusedRecordHandler.takeGivenUp()) {
      batchJobs.put(job, new BatchedJob(job.phase(), ProgressForm.ENDED));
    }
    List<Action> waitingActions = new ArrayList<>();
    for (Action action : state.actionsAfterStore()) {
      (refusedRecordHandler.mustWait(action) ? waitingActions : batchActions).add(action);
    }
    batchStarts.addAll(state.startsAfterStore());
    if (!holdsEnds) {
      for (Worker worker : state.workersWithUnstoredEnds()) {
        batchEnds.add(new StoredEnds(worker, worker.incarnation(), worker.ends().processedEnd()));
      }
      state.workersWithUnstoredEnds().clear();
    }
    state.jobsToStore().clear();
    state.otherWrites().clear();
    state.actionsAfterStore().clear();
    state.actionsAfterStore().addAll(waitingActions);
    state.startsAfterStore().clear();
    batchOpen = true;
    return Optional.of(new Batch(writes, List.copyOf(batchActions)));
  }

  /**
   * Handles records of the last batch that the store refuses for their content; {@link #stored}
   * follows, for all others.
   */
  void recordsRefused(List<RecordWrite> records, ClockReading now) {
    for (RecordWrite write : records) {
      Job job = state.jobs().get(write.owner());
      BatchedJob batched = batchJobs.remove(job);
      if (batched != null) {
        refusedRecordHandler.refuse(job, batched.form(), batchActions, now);
      }
      refusedRecordHandler.refuse(write, batchActions);
    }
    if (refusedRecordHandler.holdsEnds()) {
      batchEnds.forEach(ends -> state.workersWithUnstoredEnds().add(ends.worker()));
      batchEnds.clear();
    }
  }

  /** Handles the confirmation that the last batch is stored. */
  void stored(ClockReading now) {
    batchOpen = false;
    batchJobs.forEach(
        (job, batched) -> {
          boolean ended = batched.phase().terminal() && !job.storedPhase().terminal();
          state.markStored(job, batched.phase());
          refusedRecordHandler.stored(job);
          if (ended) {
            state.actions().add(job.endReport(now.unixMillis()));
          }
        });
    for (Job job : batchJobs.keySet()) {
      if (job.phase() == JobPhase.CANCELLED && job.storedPhase() == JobPhase.CANCELLED) {
        job.placements().forEach(placement -> stopIfNotSent(placement, now));
      }
    }
    for (StoredEnds storedEnds : batchEnds) {
      storedEnds.apply();
      state.checkRenewal(storedEnds.worker());
    }
    startIssuer.issue(batchStarts, now);
    state.actions().addAll(batchActions);
    batchJobs.clear();
    batchEnds.clear();
    batchStarts.clear();
    batchActions.clear();
  }

  private void stopIfNotSent(Placement placement, ClockReading now) {
    if (!placement.stopSent()) {
      state.stop(placement, StopReason.CANCELLED, now.monotonicMillis());
    }
  }
}
