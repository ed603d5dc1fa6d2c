package org.cicadaford.coordinator;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.cicadaford.cell.AdmissionDecision;
import org.cicadaford.cell.ClockReading;
import org.cicadaford.cell.Coordinator;
import org.cicadaford.cell.JobSpec;
import org.cicadaford.cell.JobView;
import org.cicadaford.cell.Queue;
import org.cicadaford.cell.Submitter;

/** Executes callers' requests on the coordinator and replies once their effect is stored. */
final class JobRequestExecutor {

  /** Reply while the last stored append is too old to confirm the role. */
  private static final CellReply STORE_UNRESPONSIVE =
      CellReply.of(CellOutcome.REFUSED, "the store is not responding");

  private final long epoch;
  private final Coordinator coordinator;
  private final BooleanSupplier roleConfirmed;
  private final Runnable onChange;
  private final Supplier<ClockReading> clock;
  private final DecisionLog log;
  private final PendingReplies pendingSubmissions = new PendingReplies();
  private final PendingReplies pendingCancellations = new PendingReplies();

  /**
   * Creates the executor.
   *
   * @param roleConfirmed returns whether the role is confirmed, so that a job that is not known
   *     here is known nowhere
   * @param onChange runs after each request that changes the state
   */
  JobRequestExecutor(
      long epoch,
      Coordinator coordinator,
      BooleanSupplier roleConfirmed,
      Runnable onChange,
      Supplier<ClockReading> clock,
      DecisionLog log) {
    this.epoch = epoch;
    this.coordinator = coordinator;
    this.roleConfirmed = roleConfirmed;
    this.onChange = onChange;
    this.clock = clock;
    this.log = log;
  }

  /** Returns whether a request waits until its effect is stored. */
  boolean isWaiting() {
    return !pendingSubmissions.isEmpty() || !pendingCancellations.isEmpty();
  }

  /** Replies to all waiting requests. */
  void completeAll(CellReply reply) {
    pendingSubmissions.completeAll(reply);
    pendingCancellations.completeAll(reply);
  }

  /** Replies to the requests that wait for a job to be stored. */
  void confirmSubmission(String jobId, long sequence) {
    completeStored(pendingSubmissions, jobId, "accept", sequence);
  }

  /** Replies to the requests that wait for a cancellation to be stored. */
  void confirmCancellation(String jobId, long sequence) {
    completeStored(pendingCancellations, jobId, "cancel", sequence);
  }

  /** Replies to the requests on a job whose record the store refuses. */
  void reject(String jobId) {
    String reason = "the store refuses the record of this job; submit it with less content";
    pendingSubmissions.complete(jobId, CellReply.of(CellOutcome.INVALID, reason));
    pendingCancellations.complete(
        jobId, CellReply.of(CellOutcome.UNKNOWN, "the store refuses the record of this job"));
  }

  private void completeStored(
      PendingReplies pending, String jobId, String category, long sequence) {
    if (pending.complete(jobId, CellReply.done("stored"))) {
      log.write(category, jobId, "stored", "epoch=" + epoch + " sequence=" + sequence);
    }
  }

  /** Submits a job; the future completes once the job is stored. */
  CompletableFuture<CellReply> submit(
      String jobId, Queue queue, Submitter submitter, JobSpec spec) {
    if (!roleConfirmed.getAsBoolean()) {
      return CompletableFuture.completedFuture(STORE_UNRESPONSIVE);
    }
    AdmissionDecision decision = coordinator.submit(jobId, queue, submitter, spec, clock.get());
    return switch (decision) {
      case AdmissionDecision.AlreadyStored() ->
          CompletableFuture.completedFuture(CellReply.done("known"));
      case AdmissionDecision.Refused refused -> {
        log.writeRefusal(jobId, queue.name(), submitter.team(), refused);
        yield CompletableFuture.completedFuture(
            new CellReply(CellOutcome.REFUSED, refused.reason(), refused.retryAfterMillis()));
      }
      case AdmissionDecision.CancelledBefore(long cancelledAgeMillis) -> {
        log.write("submit", jobId, "cancelled-before", "cancelled_age_ms=" + cancelledAgeMillis);
        yield awaitStored(pendingSubmissions, jobId);
      }
      case AdmissionDecision.Storing() -> awaitStored(pendingSubmissions, jobId);
    };
  }

  /**
   * Cancels a job; the future completes once the cancellation is stored.
   *
   * <p>The cancellation of a job that is not known is stored as well, and its caller is told that
   * there is no such job. A submission that arrives later is cancelled at once.
   */
  CompletableFuture<CellReply> cancel(String jobId, String queue, String team) {
    if (find(jobId, queue, team).isPresent()) {
      coordinator.cancel(jobId, clock.get());
      return awaitStored(pendingCancellations, jobId);
    }
    CellReply absent = replyToAbsent();
    boolean idOfAnotherJob = coordinator.job(jobId).isPresent();
    if (absent.outcome() != CellOutcome.NO_SUCH_JOB || idOfAnotherJob) {
      return CompletableFuture.completedFuture(absent);
    }
    OptionalLong retryAfterMillis = coordinator.cancelUnknown(jobId, queue, team, clock.get());
    boolean remembered = retryAfterMillis.isEmpty();
    log.write(
        "cancel",
        jobId,
        remembered ? "unknown-job" : "refused",
        "queue=" + queue + " team=" + team + " epoch=" + epoch);
    if (!remembered) {
      String reason = "too many cancellations of unknown jobs are remembered; retry later";
      return CompletableFuture.completedFuture(
          new CellReply(CellOutcome.REFUSED, reason, retryAfterMillis.getAsLong()));
    }
    return awaitStored(pendingCancellations, jobId)
        .thenApply(reply -> reply.outcome() == CellOutcome.DONE ? absent : reply);
  }

  private CompletableFuture<CellReply> awaitStored(PendingReplies pending, String jobId) {
    CompletableFuture<CellReply> reply = pending.await(jobId);
    onChange.run();
    return reply;
  }

  /** Returns the stored state of a job; the future completes once the job is stored. */
  CompletableFuture<CellReply> jobPhase(String jobId, String queue, String team) {
    Optional<JobView> view = find(jobId, queue, team);
    if (view.isPresent() && !view.get().stored()) {
      return awaitStored(pendingSubmissions, jobId)
          .thenApply(
              reply ->
                  reply.outcome() == CellOutcome.DONE
                      ? storedPhase(find(jobId, queue, team))
                      : reply);
    }
    return CompletableFuture.completedFuture(storedPhase(view));
  }

  private CellReply storedPhase(Optional<JobView> view) {
    return view.map(job -> CellReply.done(job.phase().name())).orElseGet(this::replyToAbsent);
  }

  /** Returns the job of that id if it belongs to the queue and team. */
  private Optional<JobView> find(String jobId, String queue, String team) {
    return coordinator
        .job(jobId)
        .filter(job -> job.queue().equals(queue) && job.team().equals(team));
  }

  private CellReply replyToAbsent() {
    return roleConfirmed.getAsBoolean()
        ? CellReply.of(CellOutcome.NO_SUCH_JOB, "no such job in this queue")
        : STORE_UNRESPONSIVE;
  }

  /** Returns the number of jobs in a queue that have not started. */
  CellReply pendingCount(String queue) {
    if (!roleConfirmed.getAsBoolean()) {
      return STORE_UNRESPONSIVE;
    }
    return CellReply.done(Integer.toString(coordinator.pendingCount(queue)));
  }
}
