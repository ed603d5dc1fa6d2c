package org.cicadaford.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which submissions are accepted and which exceed the share of their team.
 *
 * <p>Designed for one team that submits many times its usual load. Work within the share of a team
 * is accepted while its result is still useful. Excess work is scheduled behind the work of other
 * teams, and since on-time work overtakes late work, it is accepted only if it can be on time. A
 * refused caller is told when to retry, see {@link RetrySchedule}.
 */
final class AdmissionPolicy {

  /** Maximum number of accepted jobs that have not started; bounds memory and recovery time. */
  static final int MAX_PENDING_JOBS = 3_000;

  /** Minimum delay before a refused caller may retry, in milliseconds. */
  private static final long MIN_RETRY_MILLIS = 1_000;

  /** Burst size of the token bucket, in seconds of the share of the team. */
  private static final double BURST_SECONDS = 2;

  /** Token bucket of one team. */
  private static final class Bucket {
    private double tokens;
    private long refilledAtMillis;
  }

  /** Key of the queues of one priority as used by one team. */
  private record TeamPriority(String team, int priority) {}

  private final CellState state;
  private final StartDelayEstimator delayEstimator;
  private final Map<String, Bucket> buckets = new HashMap<>();
  private final Map<TeamPriority, RetrySchedule> retrySchedules = new HashMap<>();

  AdmissionPolicy(CellState state) {
    this.state = state;
    this.delayEstimator = new StartDelayEstimator(state);
  }

  /** Returns a refusal if the job cannot be served in time. */
  Optional<AdmissionDecision.Refused> refusal(Job job, ClockReading now) {
    JobDefinition definition = job.definition();
    long waitMillis =
        delayEstimator.waitMillis(job.team(), job.queue().priority(), definition.excess(), now);
    int pendingCount = state.pendingJobs().certainCount();
    if (pendingCount >= MAX_PENDING_JOBS) {
      String reason = pendingCount + " jobs are waiting; retry later";
      return Optional.of(
          new AdmissionDecision.Refused(reason, Math.max(MIN_RETRY_MILLIS, waitMillis)));
    }
    boolean longRunning = job.spec().steps().stream().anyMatch(StepSpec::longRunning);
    if (longRunning || job.spec().recurring()) {
      return Optional.empty();
    }
    RetrySchedule retries =
        retrySchedules.computeIfAbsent(
            new TeamPriority(job.team(), job.queue().priority()), key -> new RetrySchedule());
    long workMillis = delayEstimator.durationMillis(job);
    if (retries.consume(job.id(), now.monotonicMillis())) {
      return Optional.empty();
    }
    long beginMillis = now.unixMillis();
    long onTimeMillis = job.objective().latestOnTimeStartMillis(0, beginMillis) - beginMillis;
    long usefulMillis = job.objective().latestUsefulStartMillis(0, beginMillis) - beginMillis;
    boolean served =
        definition.excess()
            ? waitMillis <= onTimeMillis && !retries.hasPendingRetries(now.monotonicMillis())
            : waitMillis <= usefulMillis;
    if (served) {
      if (!definition.excess()) {
        retries.recordGuaranteedWork(workMillis, now.monotonicMillis());
      }
      return Optional.empty();
    }
    long retryMillis = Math.max(MIN_RETRY_MILLIS, waitMillis - onTimeMillis);
    String reason =
        "the job cannot start in time, "
            + waitMillis
            + " ms of work and callers refused earlier are ahead of it; retry later";
    return Optional.of(
        new AdmissionDecision.Refused(
            reason, retries.assign(job.id(), workMillis, retryMillis, now.monotonicMillis())));
  }

  /** Returns whether a job of {@code team} exceeds the guaranteed rate of the team. */
  boolean isExcess(String team, double ratePerSecond, long nowMillis) {
    if (ratePerSecond <= 0) {
      return false;
    }
    double capacity = Math.max(1, ratePerSecond * BURST_SECONDS);
    Bucket bucket = buckets.get(team);
    if (bucket == null) {
      bucket = new Bucket();
      bucket.tokens = capacity;
      bucket.refilledAtMillis = nowMillis;
      buckets.put(team, bucket);
    }
    double refill = ratePerSecond * (nowMillis - bucket.refilledAtMillis) / 1_000.0;
    bucket.tokens = Math.min(capacity, bucket.tokens + refill);
    bucket.refilledAtMillis = nowMillis;
    if (bucket.tokens < 1) {
      return true;
    }
    bucket.tokens -= 1;
    return false;
  }
}
