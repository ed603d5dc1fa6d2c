package org.cicadaford.cell;

import java.util.List;

/** Applies the end of a run to its task, step and job. */
final class RunEndHandler {

  /** Cause of a lost run whose end the worker has not reported. */
  private static final String UNREPORTED_END = "UNREPORTED";

  private static final int MILLICORES_PER_CORE = 1_000;

  private final CellState state;
  private final PlacementReporter reporter;

  RunEndHandler(CellState state, PlacementReporter reporter) {
    this.state = state;
    this.reporter = reporter;
  }

  /** Applies a run end that the worker reported. */
  void runEnded(Placement placement, EndKind kind, String checkpoint, ClockReading now) {
    Task task = placement.task();
    state.pendingJobs().markBegun(task.step().job());
    if (kind != EndKind.DONE) {
      reportLostRun(placement, kind.name(), kind == EndKind.STOPPED, now);
    }
    task.lastRelease(
        new PlacementReporter.Release(
            placement.run(), placement.worker().id(), kind.name(), true, now.monotonicMillis()));
    task.checkpoint(placement.checkpoint());
    task.checkpoint(checkpoint);
    state.release(placement);
    if (kind == EndKind.DONE && placement.worker().quarantine().clearSuspicion()) {
      reporter.trusted(placement.worker(), "DONE");
    }
    boolean gang = task.step().spec().gang();
    if (kind == EndKind.DONE || kind == EndKind.FAILED && !gang) {
      // The worker has run the task to its end, so starting it does not crash workers. Of a gang,
      // one member may fail while another one crashes its worker.
      task.members().forEach(member -> member.losses(0, 0));
    }
    if (task.step().job().phase().terminal() || task.done()) {
      return;
    }
    switch (kind) {
      case DONE -> done(placement, now);
      case FAILED -> failed(placement, now);
      case STOPPED, LAPSED, BROKEN, ALONE -> requeue(placement, now);
      default -> throw new IllegalStateException("unknown end kind " + kind);
    }
  }

  /** Applies the loss of a run that is certainly not running and whose result is unknown. */
  void runLost(Placement placement, ReleaseReason reason, ClockReading now) {
    reporter.released(placement, reason, now);
    reportUnreportedEnd(placement, now);
    placement.task().checkpoint(placement.checkpoint());
    state.release(placement);
    if (!placement.task().step().job().phase().terminal()) {
      requeue(placement, now);
    }
  }

  /** Reports a run, if it was confirmed, as lost without a report of its end. */
  void reportUnreportedEnd(Placement placement, ClockReading now) {
    if (placement.stage() == Placement.Stage.RUNNING) {
      reportLostRun(placement, UNREPORTED_END, false, now);
    }
  }

  /** Reports a run that did not complete its task; a run that is stopped saves a checkpoint. */
  private void reportLostRun(
      Placement placement, String endedAs, boolean stopped, ClockReading now) {
    long nowMillis = now.monotonicMillis();
    StepSpec spec = placement.task().step().spec();
    boolean saved = stopped && spec.checkpointing();
    long lostMillis = saved ? 0 : placement.unsavedMillis(nowMillis);
    state
        .actions()
        .add(
            new Action.ReportLostRun(
                placement.task().name(),
                placement.run(),
                placement.worker().id(),
                placement.stopRequested() ? placement.stopReason().name() : endedAs,
                nowMillis - placement.orderedAtMillis(),
                lostMillis * spec.demand().processorsMillicores() / MILLICORES_PER_CORE));
  }

  private void done(Placement placement, ClockReading now) {
    StepRun step = placement.task().step();
    if (step.spec().longRunning()) {
      requeue(placement, now);
      return;
    }
    placement.task().markDone();
    if (step.spec().gang()) {
      // The members of a gang end together, so the end of one completes all of them.
      step.tasks().forEach(Task::markDone);
    }
    if (step.done()) {
      step.phaseTimes().addStep(step, placement, now.monotonicMillis());
      stepDone(step, now);
    }
  }

  /**
   * Applies the late success of a run that was considered lost because its worker was unreachable.
   * The task is done, so a later run of it is stopped.
   */
  void completedByEarlierRun(Task task, int run, ClockReading now) {
    StepRun step = task.step();
    boolean relevant = !task.done() && !step.spec().longRunning() && run <= task.lastRun();
    if (!relevant || step.job().phase().terminal()) {
      return;
    }
    state.pendingJobs().markBegun(step.job());
    task.members().forEach(Task::markDone);
    for (Task member : task.members()) {
      if (member.placement() != null) {
        state.stop(member.placement(), StopReason.DONE_BEFORE, now.monotonicMillis());
      }
    }
    state.markForStore(step.job());
    if (step.done()) {
      stepDone(step, now);
    }
  }

  private void stepDone(StepRun step, ClockReading now) {
    Job job = step.job();
    List<StepRun> steps = job.occurrences().get(step.occurrence());
    steps.forEach(state::enqueueIfPlaceable);
    if (steps.stream().allMatch(StepRun::done)) {
      completeOccurrence(job, step.occurrence(), now);
    }
  }

  private void completeOccurrence(Job job, int occurrence, ClockReading now) {
    if (job.completeOccurrence(occurrence) && job.allDone()) {
      endJob(job, JobPhase.COMPLETED, now);
    }
  }

  private void failed(Placement placement, ClockReading now) {
    Task task = placement.task();
    StepRun step = task.step();
    if (!placement.provenLongRun(now.monotonicMillis())) {
      countFailure(placement, now);
    }
    task.recordFailureOn(placement.worker().id());
    if (step.spec().gang()) {
      if (step.countFailureOnce(placement.run())) {
        int count = task.failedCount() + 1;
        step.tasks().forEach(member -> member.failedCount(count));
      }
    } else {
      task.failedCount(task.failedCount() + 1);
    }
    boolean exhausted = task.failedCount() >= state.queueOf(step.job()).maxAttempts();
    if (exhausted && !step.spec().longRunning()) {
      failJob(step.job(), now);
      return;
    }
    requeue(placement, now);
  }

  /** Counts a failure against the worker, which may be the cause. */
  void countFailure(Placement placement, ClockReading now) {
    Worker worker = placement.worker();
    StepRun step = placement.task().step();
    boolean longRunning = step.spec().longRunning();
    if (worker.quarantine().failed(step.job().id(), longRunning, now.monotonicMillis())) {
      reporter.suspected(worker);
    }
  }

  /**
   * Ends a long-running probe that has run long enough, and the suspicion of its worker if only
   * long-running tasks have failed there.
   */
  void checkProbe(Placement placement, ClockReading now) {
    WorkerQuarantine quarantine = placement.worker().quarantine();
    if (!quarantine.isProbe(placement) || !placement.provenLongRun(now.monotonicMillis())) {
      return;
    }
    placement.markLongRunProven();
    if (quarantine.clearedByLongRun() && quarantine.clearSuspicion()) {
      reporter.trusted(placement.worker(), "RUNS");
    }
  }

  /** Ends the suspicion of a worker whose failures no longer count. */
  void expireFailures(Worker worker, ClockReading now) {
    if (worker.quarantine().expire(worker.placements().values(), now.monotonicMillis())) {
      reporter.trusted(worker, "EXPIRED");
    }
  }

  private void requeue(Placement placement, ClockReading now) {
    StepRun step = placement.task().step();
    if (step.spec().gang() && !step.done()) {
      for (Task member : step.tasks()) {
        if (member.placement() != null && !member.placement().stopRequested()) {
          state.stop(member.placement(), StopReason.GANG_BROKEN, now.monotonicMillis());
        }
      }
    }
    state.enqueueIfPlaceable(step);
  }

  /** Ends a job as failed and stops its remaining runs. */
  void failJob(Job job, ClockReading now) {
    endJob(job, JobPhase.FAILED, now);
    job.placements()
        .forEach(other -> state.stop(other, StopReason.JOB_FAILED, now.monotonicMillis()));
  }

  /** Ends a job; the caller stops its remaining runs. */
  void endJob(Job job, JobPhase phase, ClockReading now) {
    job.occurrences().values().forEach(steps -> steps.forEach(state.waiting()::remove));
    job.phase(phase);
    job.endedAtMillis(now.unixMillis());
    state.markForStore(job);
  }
}
