package org.cicadaford.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which submissions are accepted, and which are beyond their team's share.
 *
 * <p>The load that it answers is one team that sends many times its usual. Its excess goes behind
 * the work of the others and moves on with what the work leaves that the team is owed. What cannot
 * start while its end is of use is refused at once, and told when its turn comes, see {@link
 * ReturnTurns}.
 */
final class AdmissionPolicy {

  /** Largest number of accepted jobs that have not started; bounds memory and recovery time. */
  static final int MAX_PENDING_JOBS = 3_000;

  /** Least time after which a refused caller may try again, in milliseconds. */
  private static final long LEAST_RETRY_MILLIS = 1_000;

  /** Seconds of its share that a team may use at once. */
  private static final double BURST_SECONDS = 2;

  /** A token bucket of one team. */
  private static final class Bucket {
    private double tokens;
    private long filledAtMillis;
  }

  /** Queues of one priority, for one team. */
  private record QueueOfTeam(String team, int priority) {}

  private final CellState state;
  private final StartForecast forecast;
  private final Map<String, Bucket> buckets = new HashMap<>();
  private final Map<QueueOfTeam, ReturnTurns> turns = new HashMap<>();

  AdmissionPolicy(CellState state) {
    this.state = state;
    this.forecast = new StartForecast(state);
  }

  /** Returns the refusal of a job that cannot be served, if it is one. */
  Optional<AdmissionDecision.Refused> refusal(Job job, Moment now) {
    JobDefinition definition = job.definition();
    long waitMillis =
        forecast.waitMillis(job.team(), job.queue().priority(), definition.excess(), now);
    if (state.pendingCount() >= MAX_PENDING_JOBS) {
      String reason = state.pendingCount() + " jobs are waiting; come back later";
      return Optional.of(
          new AdmissionDecision.Refused(reason, Math.max(LEAST_RETRY_MILLIS, waitMillis)));
    }
    boolean lasting = job.spec().steps().stream().anyMatch(StepSpec::longRunning);
    if (lasting || job.spec().timed()) {
      return Optional.empty();
    }
    ReturnTurns returning =
        turns.computeIfAbsent(
            new QueueOfTeam(job.team(), job.queue().priority()), key -> new ReturnTurns());
    if (returning.take(job.id(), now.steadyMillis())) {
      return Optional.empty();
    }
    long nowMillis = now.steadyMillis();
    long workMillis = forecast.durationMillis(job);
    // Work that the team is owed overtakes its excess, which moves on with what that leaves.
    double part = definition.excess() ? returning.sparePart(nowMillis) : 1;
    long expectedMillis = Math.round(waitMillis / part);
    boolean behindOthers = definition.excess() && returning.anyAhead(nowMillis);
    if (expectedMillis <= job.objective().usefulSpareMillis() && !behindOthers) {
      if (!definition.excess()) {
        returning.owedWork(workMillis, nowMillis);
      }
      return Optional.empty();
    }
    long leastMillis = Math.max(LEAST_RETRY_MILLIS, expectedMillis - job.objective().spareMillis());
    String reason =
        "the job cannot start while its end is of use, work of "
            + expectedMillis
            + " ms and callers that were refused before are ahead of it; come back later";
    long turnMillis = returning.add(job.id(), workMillis, leastMillis, nowMillis);
    return Optional.of(new AdmissionDecision.Refused(reason, turnMillis));
  }

  /** Returns whether a job of {@code team} is beyond the rate that the team is owed. */
  boolean isExcess(String team, double ratePerSecond, long nowMillis) {
    if (ratePerSecond <= 0) {
      return false;
    }
    double capacity = Math.max(1, ratePerSecond * BURST_SECONDS);
    Bucket bucket = buckets.get(team);
    if (bucket == null) {
      bucket = new Bucket();
      bucket.tokens = capacity;
      bucket.filledAtMillis = nowMillis;
      buckets.put(team, bucket);
    }
    double refill = ratePerSecond * (nowMillis - bucket.filledAtMillis) / 1_000.0;
    bucket.tokens = Math.min(capacity, bucket.tokens + refill);
    bucket.filledAtMillis = nowMillis;
    if (bucket.tokens < 1) {
      return true;
    }
    bucket.tokens -= 1;
    return false;
  }
}
