package org.cicadaford.decision;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.cicadaford.model.RequestRecord;
import org.cicadaford.model.RequestRecord.CallClaimed;
import org.cicadaford.model.RequestRecord.CallFinished;
import org.cicadaford.model.RequestRecord.JobCancelled;
import org.cicadaford.model.RequestRecord.JobSubmitted;
import org.cicadaford.model.RunOutcome;

/**
 * Submissions, cancellations and claimed calls: the fold over the {@code requests} stream.
 *
 * <p>Not safe for use by several threads.
 */
public final class RequestLedger {

  /** Time for which a request id is accepted, counted from its creation, in milliseconds. */
  public static final long ID_WINDOW_MILLIS = 600_000;

  /** How far a caller's clock may be ahead, in milliseconds. */
  public static final long MAX_CALLER_CLOCK_LEAD_MILLIS = 60_000;

  /**
   * Time for which a claim is kept, in milliseconds. It outlasts every id that could repeat the
   * claim: the window, a caller's clock that is ahead, and as much again for our own clocks.
   */
  static final long CLAIM_KEPT_MILLIS = ID_WINDOW_MILLIS + 2 * MAX_CALLER_CLOCK_LEAD_MILLIS;

  private final Map<String, CallEntry> callsByRequestId = new LinkedHashMap<>();
  private final Map<String, SubmissionEntry> jobsByRequestId = new LinkedHashMap<>();
  private final Map<String, JobSubmitted> jobsById = new HashMap<>();
  private final Map<String, Long> cancelledJobs = new LinkedHashMap<>();
  private long appliedOffset = ConfigState.NO_OFFSET;

  /**
   * A claimed call.
   *
   * @param claimOffset offset of the claim
   * @param claim the claim
   * @param finished how it ended, or null while that is not known
   */
  public record CallEntry(long claimOffset, CallClaimed claim, CallFinished finished) {}

  private record SubmissionEntry(long offset, JobSubmitted submission) {}

  /** Applies the record at {@code offset} and returns whether it took effect. */
  public Verdict apply(long offset, RequestRecord record, long nowMillis) {
    if (offset <= appliedOffset) {
      return Verdict.rejected("offset " + offset + " was applied before");
    }
    appliedOffset = offset;
    return switch (record) {
      case CallClaimed claim -> claim(offset, claim);
      case CallFinished finished -> finish(finished);
      case JobSubmitted submitted -> submit(offset, submitted);
      case JobCancelled cancelled -> cancel(cancelled, nowMillis);
    };
  }

  private Verdict claim(long offset, CallClaimed claim) {
    CallEntry entry = callsByRequestId.get(claim.requestId());
    if (entry != null && !endedWithoutRun(entry)) {
      return Verdict.rejected("request " + claim.requestId() + " was claimed before");
    }
    callsByRequestId.remove(claim.requestId());
    callsByRequestId.put(claim.requestId(), new CallEntry(offset, claim, null));
    return Verdict.ACCEPTED;
  }

  private static boolean endedWithoutRun(CallEntry entry) {
    return entry.finished() != null && entry.finished().outcome() == RunOutcome.NOT_RUN;
  }

  private Verdict finish(CallFinished finished) {
    CallEntry entry = callsByRequestId.get(finished.requestId());
    if (entry == null || entry.claimOffset() != finished.claimOffset()) {
      return Verdict.rejected("the claim at offset " + finished.claimOffset() + " is not current");
    }
    if (entry.finished() != null) {
      return Verdict.rejected("the call has ended before");
    }
    CallEntry ended = new CallEntry(entry.claimOffset(), entry.claim(), finished);
    callsByRequestId.put(finished.requestId(), ended);
    return Verdict.ACCEPTED;
  }

  private Verdict submit(long offset, JobSubmitted submitted) {
    if (jobsByRequestId.containsKey(submitted.requestId())) {
      return Verdict.rejected("request " + submitted.requestId() + " was submitted before");
    }
    if (jobsById.putIfAbsent(submitted.jobId(), submitted) != null) {
      return Verdict.rejected("job " + submitted.jobId() + " exists; use another id");
    }
    jobsByRequestId.put(submitted.requestId(), new SubmissionEntry(offset, submitted));
    return Verdict.ACCEPTED;
  }

  private Verdict cancel(JobCancelled cancelled, long nowMillis) {
    cancelledJobs.putIfAbsent(cancelled.jobId(), nowMillis);
    return Verdict.ACCEPTED;
  }

  /** Forgets what no accepted request id can ask for any more. */
  public void expire(long nowMillis) {
    long keptFromMillis = nowMillis - CLAIM_KEPT_MILLIS;
    callsByRequestId.values().removeIf(entry -> entry.claim().claimedAtMillis() < keptFromMillis);
    jobsByRequestId
        .values()
        .removeIf(entry -> entry.submission().submittedAtMillis() < keptFromMillis);
    jobsById.values().removeIf(job -> job.submittedAtMillis() < keptFromMillis);
    cancelledJobs.values().removeIf(appliedAtMillis -> appliedAtMillis < keptFromMillis);
  }

  /** Returns whether an id created at {@code createdAtMillis} may still be accepted. */
  public static boolean isIdInWindow(long createdAtMillis, long nowMillis) {
    return createdAtMillis >= nowMillis - ID_WINDOW_MILLIS
        && createdAtMillis <= nowMillis + MAX_CALLER_CLOCK_LEAD_MILLIS;
  }

  /** Returns the claimed call of a request id. */
  public Optional<CallEntry> call(String requestId) {
    return Optional.ofNullable(callsByRequestId.get(requestId));
  }

  /** Returns the submission that won a request id. */
  public Optional<JobSubmitted> submission(String requestId) {
    return Optional.ofNullable(jobsByRequestId.get(requestId)).map(SubmissionEntry::submission);
  }

  /** Returns the submission of a job, while it is kept. */
  public Optional<JobSubmitted> job(String jobId) {
    return Optional.ofNullable(jobsById.get(jobId));
  }

  /** Returns whether a cancellation of the job is kept. */
  public boolean isCancelled(String jobId) {
    return cancelledJobs.containsKey(jobId);
  }

  /** Returns the offset of the last record applied, or -1. */
  public long appliedOffset() {
    return appliedOffset;
  }

  /** Returns the number of claimed calls kept. */
  public int callCount() {
    return callsByRequestId.size();
  }
}
