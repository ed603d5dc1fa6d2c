package org.cicadaford.cell;

import java.util.Deque;
import java.util.Optional;
import java.util.OptionalLong;

/** Removes ended jobs and early cancellations whose retention time has passed. */
final class EndedJobRemover {

  /** Interval at which what has expired is removed, in milliseconds. */
  private static final long REMOVAL_INTERVAL_MILLIS = 1_000;

  private final CellState state;
  private OptionalLong nextRemovalMillis = OptionalLong.empty();

  EndedJobRemover(CellState state) {
    this.state = state;
  }

  /** Removes what has expired, if a removal is due. */
  void tick(ClockReading now) {
    if (!ElapsedTime.isFuture(nextRemovalMillis, now.monotonicMillis())) {
      nextRemovalMillis = OptionalLong.of(now.monotonicMillis() + REMOVAL_INTERVAL_MILLIS);
      removeExpired(now);
      removeExpiredCancellations(now);
    }
  }

  private void removeExpired(ClockReading now) {
    long keptMillis = state.settings().keepEndedMillis();
    Deque<Job> ended = state.endedJobs();
    while (!ended.isEmpty() && now.unixMillis() - ended.peek().endedAtMillis() > keptMillis) {
      Job job = ended.poll();
      if (!job.placements().isEmpty()) {
        // A run has not ended yet; the job moves to the end of the queue to be checked again.
        ended.add(job);
        return;
      }
      state.jobs().remove(job.id());
      state.jobsToStore().remove(job);
      state.otherWrites().add(JobRecordFactory.progressDeletion(job));
      state.faultHistory().remove(job.id()).ifPresent(state.otherWrites()::add);
    }
  }

  /** A submission is expected no later than a repeated one of an ended job, so for as long. */
  private void removeExpiredCancellations(ClockReading now) {
    long keptMillis = state.settings().keepEndedMillis();
    Optional<RecordWrite> deletion = state.earlyCancellations().removeExpired(keptMillis, now);
    while (deletion.isPresent()) {
      state.otherWrites().add(deletion.get());
      deletion = state.earlyCancellations().removeExpired(keptMillis, now);
    }
  }
}
