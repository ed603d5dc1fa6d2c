package org.cicadaford.cell;

import java.util.Optional;
import java.util.OptionalLong;

/** Cancels jobs that are not known, and the submissions that arrive after their cancellation. */
final class EarlyCancellationHandler {

  private final CellState state;
  private final RunEndHandler endHandler;

  EarlyCancellationHandler(CellState state, RunEndHandler endHandler) {
    this.state = state;
    this.endHandler = endHandler;
  }

  /**
   * Remembers the cancellation of a job that is not known. If it cannot be remembered, returns the
   * time until the next one can be, in milliseconds.
   */
  OptionalLong cancel(String jobId, String queue, String team, ClockReading now) {
    EarlyCancellations cancellations = state.earlyCancellations();
    boolean remembered = cancellations.find(jobId, queue, team).isPresent();
    if (!remembered && !cancellations.hasPlace(team, state.config().teamNames())) {
      return OptionalLong.of(
          cancellations.millisUntilExpiry(team, state.settings().keepEndedMillis(), now));
    }
    if (!remembered) {
      EarlyCancellation cancellation = new EarlyCancellation(queue, team, now.unixMillis());
      state.otherWrites().add(cancellations.add(jobId, cancellation));
    }
    state.actionsAfterStore().add(new Action.ConfirmCancellation(jobId, queue, team));
    return OptionalLong.empty();
  }

  /** Stores a submitted job as cancelled if its cancellation is remembered. */
  Optional<AdmissionDecision> submit(Job job, ClockReading now) {
    Optional<EarlyCancellation> earlier =
        state.earlyCancellations().find(job.id(), job.queueName(), job.team());
    if (earlier.isEmpty()) {
      return Optional.empty();
    }
    state
        .otherWrites()
        .add(state.earlyCancellations().remove(job.id(), job.queueName(), job.team()));
    state.jobs().put(job.id(), job);
    endHandler.endJob(job, JobPhase.CANCELLED, now);
    state.actionsAfterStore().add(new Action.ConfirmSubmission(job.id()));
    return Optional.of(
        new AdmissionDecision.CancelledBefore(
            now.unixMillis() - earlier.get().cancelledAtMillis()));
  }
}
