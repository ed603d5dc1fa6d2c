package org.cicadaford.decision;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.cicadaford.model.RequestRecord;
import org.cicadaford.model.RequestRecord.CallClaimed;
import org.cicadaford.model.RequestRecord.CallFinished;
import org.cicadaford.model.RequestRecord.JobCancelled;
import org.cicadaford.model.RequestRecord.JobSubmitted;
import org.cicadaford.model.RunOutcome;

/**
 * Holds submissions, cancellations and claimed calls, built by applying the records of the {@code
 * requests} stream in order.
 *
 * <p>Whether a record takes effect must not depend on when a reader expires older ones, and
 * readers' clocks differ. The ledger therefore measures age by the latest timestamp of any record
 * in the stream: an id that was created before {@link #oldestAcceptedIdMillis()} is rejected by
 * every reader, and only ids before it are expired, so an expired claim cannot be repeated.
 *
 * <p>Not thread-safe.
 */
public final class RequestLedger {

  /** Time after its creation for which a request id is accepted, in milliseconds. */
  public static final long ID_WINDOW_MILLIS = 600_000;

  /** Maximum time that a caller's clock may be ahead, in milliseconds. */
  public static final long MAX_CALLER_CLOCK_LEAD_MILLIS = 60_000;

  /**
   * Age by the stream's clock at which an id is rejected and may be expired, in milliseconds. It
   * covers every id that could repeat a claim: the id window, the lead of a caller's clock, and the
   * same lead again for this system's clocks.
   */
  static final long CLAIM_RETENTION_MILLIS = ID_WINDOW_MILLIS + 2 * MAX_CALLER_CLOCK_LEAD_MILLIS;

  private final Map<String, CallEntry> callsByRequestId = new LinkedHashMap<>();
  private final Map<String, JobSubmitted> jobsByRequestId = new LinkedHashMap<>();
  private final Map<String, JobSubmitted> jobsById = new HashMap<>();
  private final Map<String, Long> cancelledJobs = new LinkedHashMap<>();
  private long appliedOffset = ConfigState.NO_OFFSET;
  private long streamClockMillis;
  private long firstRecordClockMillis;
  private boolean startedAtFirstRecord;

  /**
   * A claimed call.
   *
   * @param claimOffset offset of the claim
   * @param claim the claim
   * @param finished how the call ended, or null while unknown
   */
  public record CallEntry(long claimOffset, CallClaimed claim, CallFinished finished) {}

  /** Applies the record at {@code offset} and returns whether it took effect. */
  public ApplyResult apply(long offset, RequestRecord record, long nowMillis) {
    if (offset <= appliedOffset) {
      return ApplyResult.rejected("offset " + offset + " was already applied");
    }
    appliedOffset = offset;
    startedAtFirstRecord = startedAtFirstRecord || offset == 0;
    return switch (record) {
      case CallClaimed claim -> claim(offset, claim);
      case CallFinished finished -> finish(finished);
      case JobSubmitted submitted -> submit(submitted);
      case JobCancelled cancelled -> cancel(cancelled, nowMillis);
    };
  }

  /**
   * Advances the stream's clock and returns why a record with this request id has no effect, or
   * null. A record written outside the window of its own id does not advance the clock.
   */
  private String rejectionReason(String requestId, long writtenAtMillis) {
    OptionalLong createdAtMillis = RequestIdParser.createdAtMillis(requestId);
    if (createdAtMillis.isEmpty()) {
      return "request id " + requestId + " has no creation time; use a UUID of version 7";
    }
    if (!isIdInWindow(createdAtMillis.getAsLong(), writtenAtMillis)) {
      return "request id " + requestId + " was used outside its validity window; use a new id";
    }
    streamClockMillis = Math.max(streamClockMillis, writtenAtMillis);
    firstRecordClockMillis = firstRecordClockMillis == 0 ? writtenAtMillis : firstRecordClockMillis;
    return isExpired(requestId) ? "request id " + requestId + " is too old; use a new id" : null;
  }

  private boolean isExpired(String requestId) {
    return RequestIdParser.createdAtMillis(requestId).orElse(Long.MIN_VALUE)
        < oldestAcceptedIdMillis();
  }

  private ApplyResult claim(long offset, CallClaimed claim) {
    String reason = rejectionReason(claim.requestId(), claim.claimedAtMillis());
    if (reason != null) {
      return ApplyResult.rejected(reason);
    }
    CallEntry entry = callsByRequestId.get(claim.requestId());
    if (entry != null && !endedWithoutRun(entry)) {
      return ApplyResult.rejected("request " + claim.requestId() + " was already claimed");
    }
    callsByRequestId.remove(claim.requestId());
    callsByRequestId.put(claim.requestId(), new CallEntry(offset, claim, null));
    return ApplyResult.ACCEPTED;
  }

  private static boolean endedWithoutRun(CallEntry entry) {
    return entry.finished() != null && entry.finished().outcome() == RunOutcome.NOT_RUN;
  }

  private ApplyResult finish(CallFinished finished) {
    CallEntry entry = callsByRequestId.get(finished.requestId());
    boolean current = entry != null && entry.claimOffset() == finished.claimOffset();
    if (!current || isExpired(finished.requestId())) {
      return ApplyResult.rejected(
          "the claim at offset " + finished.claimOffset() + " is not current");
    }
    if (entry.finished() != null) {
      return ApplyResult.rejected("the call has already ended");
    }
    CallEntry ended = new CallEntry(entry.claimOffset(), entry.claim(), finished);
    callsByRequestId.put(finished.requestId(), ended);
    return ApplyResult.ACCEPTED;
  }

  private ApplyResult submit(JobSubmitted submitted) {
    String reason = rejectionReason(submitted.requestId(), submitted.submittedAtMillis());
    if (reason != null) {
      return ApplyResult.rejected(reason);
    }
    if (jobsByRequestId.containsKey(submitted.requestId())) {
      return ApplyResult.rejected("request " + submitted.requestId() + " was already submitted");
    }
    if (retainedJob(submitted.jobId()) != null) {
      return ApplyResult.rejected("job " + submitted.jobId() + " already exists; use another id");
    }
    jobsById.put(submitted.jobId(), submitted);
    jobsByRequestId.put(submitted.requestId(), submitted);
    return ApplyResult.ACCEPTED;
  }

  private JobSubmitted retainedJob(String jobId) {
    JobSubmitted job = jobsById.get(jobId);
    return job == null || isExpired(job.requestId()) ? null : job;
  }

  /**
   * Records the cancellation. If the submission has expired, the owner of each zone checks the
   * team.
   */
  private ApplyResult cancel(JobCancelled cancelled, long nowMillis) {
    JobSubmitted job = retainedJob(cancelled.jobId());
    if (job != null && !job.description().team().equals(cancelled.team())) {
      return ApplyResult.rejected("job " + cancelled.jobId() + " belongs to another team");
    }
    cancelledJobs.putIfAbsent(cancelled.jobId(), nowMillis);
    return ApplyResult.ACCEPTED;
  }

  /**
   * Returns the creation time before which every reader rejects ids, in milliseconds. It depends
   * only on the timestamps in the stream, so all readers of the same records agree.
   */
  public long oldestAcceptedIdMillis() {
    return streamClockMillis - CLAIM_RETENTION_MILLIS;
  }

  /**
   * Returns whether every claim that could still be repeated was applied. A reader that started
   * after earlier records had expired may miss the claim of an id that is still accepted, until
   * {@link #oldestAcceptedIdMillis()} has passed all ids in those records. The first record that it
   * sees may itself be late by up to the window of its id.
   */
  public boolean isComplete() {
    long marginMillis = 2 * MAX_CALLER_CLOCK_LEAD_MILLIS + ID_WINDOW_MILLIS;
    return startedAtFirstRecord
        || firstRecordClockMillis > 0
            && oldestAcceptedIdMillis() > firstRecordClockMillis + marginMillis;
  }

  /**
   * Removes entries that no accepted request id can refer to. This only frees memory: no result of
   * {@link #apply} depends on whether or when it is called.
   */
  public void expire(long nowMillis) {
    callsByRequestId.keySet().removeIf(this::isExpired);
    jobsByRequestId
        .values()
        .removeIf(
            job -> {
              boolean forgotten = isExpired(job.requestId());
              if (forgotten) {
                jobsById.remove(job.jobId(), job);
              }
              return forgotten;
            });
    long retainedFromMillis = nowMillis - CLAIM_RETENTION_MILLIS;
    cancelledJobs.values().removeIf(appliedAtMillis -> appliedAtMillis < retainedFromMillis);
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

  /** Returns the accepted submission of a request id. */
  public Optional<JobSubmitted> submission(String requestId) {
    return Optional.ofNullable(jobsByRequestId.get(requestId));
  }

  /** Returns the submission of a job, unless it has expired. */
  public Optional<JobSubmitted> job(String jobId) {
    return Optional.ofNullable(jobsById.get(jobId));
  }

  /** Returns whether the job was cancelled, unless the cancellation has expired. */
  public boolean isCancelled(String jobId) {
    return cancelledJobs.containsKey(jobId);
  }

  /** Returns the offset of the last record applied, or -1. */
  public long appliedOffset() {
    return appliedOffset;
  }

  /** Returns the number of retained calls. */
  public int callCount() {
    return callsByRequestId.size();
  }
}
