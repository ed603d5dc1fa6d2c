package org.cicadaford.coordinator;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.cicadaford.cell.Action;
import org.cicadaford.cell.AdmissionDecision;
import org.cicadaford.cell.ClockReading;
import org.cicadaford.cell.Coordinator;
import org.cicadaford.cell.JobPhase;
import org.cicadaford.cell.JobSpec;
import org.cicadaford.cell.JobView;
import org.cicadaford.cell.Queue;
import org.cicadaford.cell.Submitter;

/** Executes callers' requests on the coordinator and replies once their effect is stored. */
final class JobRequestExecutor {

  /** Reply while the last stored append is too old to confirm the role. */
  private static final CellReply STORE_UNRESPONSIVE =
      CellReply.of(CellOutcome.REFUSED, "the store is not responding");

  /** Longest delay of an answer on the state of a running job, in milliseconds. */
  private static final long MAX_PHASE_WAIT_MILLIS = 1_000;

  /**
   * Longest further delay while the end of the job is being stored, in milliseconds. It bounds the
   * delay while the store is slow.
   */
  private static final long MAX_END_STORE_MILLIS = 300;

  /** The same as a multiple of the caller's wait, as a short wait implies a short time-out. */
  private static final int MAX_END_STORE_WAITS = 3;

  private static final String KEY_SEPARATOR = "/";

  private final long epoch;
  private final Coordinator coordinator;
  private final BooleanSupplier roleConfirmed;
  private final Runnable onChange;
  private final ScheduledExecutorService loop;
  private final Supplier<ClockReading> clock;
  private final DecisionLog log;
  private final PendingReplies pendingSubmissions = new PendingReplies();
  private final PendingReplies pendingCancellations = new PendingReplies();
  private final PendingReplies pendingEnds = new PendingReplies();

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
      ScheduledExecutorService loop,
      Supplier<ClockReading> clock,
      DecisionLog log) {
    this.epoch = epoch;
    this.coordinator = coordinator;
    this.roleConfirmed = roleConfirmed;
    this.onChange = onChange;
    this.loop = loop;
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
    pendingEnds.completeAll(reply);
  }

  /** Replies to the requests that wait for a job to be stored. */
  void confirmSubmission(String jobId, long sequence) {
    if (pendingSubmissions.complete(jobId, CellReply.done("stored"))) {
      logStored("accept", jobId, sequence);
    }
  }

  /** Replies to the requests that wait for a cancellation to be stored. */
  void confirmCancellation(Action.ConfirmCancellation cancellation, long sequence) {
    String jobId = cancellation.jobId();
    String key = cancellationKey(jobId, cancellation.queue(), cancellation.team());
    if (pendingCancellations.complete(key, CellReply.done("stored"))) {
      logStored("cancel", jobId, sequence);
    }
  }

  /** Replies to the requests that wait for the end of a job. */
  void confirmEnd(String jobId, JobPhase phase) {
    pendingEnds.complete(jobId, CellReply.done(phase.name()));
  }

  /** Replies to the requests on a job whose record the store refuses. */
  void reject(Action.RejectRequests rejected) {
    String reason = "the store refuses the record of this job; submit it with less content";
    pendingSubmissions.complete(rejected.jobId(), CellReply.of(CellOutcome.INVALID, reason));
    rejectCancellation(rejected.jobId(), rejected.queue(), rejected.team());
  }

  /** Replies to the cancellation of an unknown job whose record the store refuses. */
  void reject(Action.RejectCancellation rejected) {
    rejectCancellation(rejected.jobId(), rejected.queue(), rejected.team());
  }

  private void rejectCancellation(String jobId, String queue, String team) {
    pendingCancellations.complete(
        cancellationKey(jobId, queue, team),
        CellReply.of(CellOutcome.UNKNOWN, "the store refuses the record of this job"));
  }

  /** Returns the key of the replies to a cancellation; teams may cancel an id independently. */
  private static String cancellationKey(String jobId, String queue, String team) {
    return jobId + KEY_SEPARATOR + queue + KEY_SEPARATOR + team;
  }

  private void logStored(String category, String jobId, long sequence) {
    log.write(category, jobId, "stored", "epoch=" + epoch + " sequence=" + sequence);
  }

  /** Returns whether a job of that id is known here, whose size needs no check. */
  boolean isKnown(String jobId) {
    return coordinator.job(jobId).isPresent();
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
      return awaitStored(pendingCancellations, cancellationKey(jobId, queue, team));
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
    return awaitStored(pendingCancellations, cancellationKey(jobId, queue, team))
        .thenApply(reply -> reply.outcome() == CellOutcome.DONE ? absent : reply);
  }

  private CompletableFuture<CellReply> awaitStored(PendingReplies pending, String key) {
    CompletableFuture<CellReply> reply = pending.await(key);
    onChange.run();
    return reply;
  }

  /**
   * Returns the stored state of a job; the future completes once the job is stored.
   *
   * @param waitMillis time for which the answer may be delayed until the job has ended, in
   *     milliseconds
   */
  CompletableFuture<CellReply> jobPhase(String jobId, String queue, String team, long waitMillis) {
    Optional<JobView> view = find(jobId, queue, team);
    if (view.isPresent() && !view.get().stored()) {
      return awaitStored(pendingSubmissions, jobId)
          .thenApply(
              reply ->
                  reply.outcome() == CellOutcome.DONE
                      ? storedPhase(find(jobId, queue, team))
                      : reply);
    }
    boolean running = view.isPresent() && !view.get().phase().terminal();
    return running && waitMillis > 0
        ? awaitEnd(jobId, queue, team, Math.min(waitMillis, MAX_PHASE_WAIT_MILLIS))
        : CompletableFuture.completedFuture(storedPhase(view));
  }

  /** Returns the stored state of a job once it has ended, or after a time. */
  private CompletableFuture<CellReply> awaitEnd(
      String jobId, String queue, String team, long waitMillis) {
    CompletableFuture<CellReply> reply = pendingEnds.await(jobId);
    loop.schedule(
        () -> {
          boolean endsNow = find(jobId, queue, team).map(JobView::ending).orElse(false);
          if (endsNow && !reply.isDone()) {
            loop.schedule(
                () -> stopAwaiting(reply, jobId, queue, team),
                Math.min(MAX_END_STORE_MILLIS, MAX_END_STORE_WAITS * waitMillis),
                TimeUnit.MILLISECONDS);
          } else {
            stopAwaiting(reply, jobId, queue, team);
          }
        },
        waitMillis,
        TimeUnit.MILLISECONDS);
    return reply;
  }

  private void stopAwaiting(
      CompletableFuture<CellReply> reply, String jobId, String queue, String team) {
    pendingEnds.remove(jobId, reply);
    reply.complete(storedPhase(find(jobId, queue, team)));
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
