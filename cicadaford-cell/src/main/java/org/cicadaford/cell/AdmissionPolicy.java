package org.cicadaford.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which submissions are accepted, and which are beyond their team's share.
 *
 * <p>The load that it answers is one team that sends many times its usual. What the team is owed is
 * accepted as long as its end is of use. Its excess goes behind the work of the others, and as
 * newer work that can be on time overtakes work that is late, excess is accepted only if it can be
 * on time. What is refused is told when its turn comes, see {@link ReturnTurns}.
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
  Optional<AdmissionDecision.Refused> refusal(Job job, ClockReading now) {
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
    ReturnTurns queue =
        turns.computeIfAbsent(
            new QueueOfTeam(job.team(), job.queue().priority()), key -> new ReturnTurns());
    long workMillis = forecast.durationMillis(job);
    if (queue.take(job.id(), now.monotonicMillis())) {
      return Optional.empty();
    }
    long begin = now.unixMillis();
    long onTimeMillis = job.objective().onTimeStartMillis(0, begin) - begin;
    long usefulMillis = job.objective().usefulStartMillis(0, begin) - begin;
    boolean served =
        definition.excess()
            ? waitMillis <= onTimeMillis && !queue.anyAhead(now.monotonicMillis())
            : waitMillis <= usefulMillis;
    if (served) {
      if (!definition.excess()) {
        queue.owedWork(workMillis, now.monotonicMillis());
      }
      return Optional.empty();
    }
    long retryMillis = Math.max(LEAST_RETRY_MILLIS, waitMillis - onTimeMillis);
    String reason =
        "the job cannot start in time, work of "
            + waitMillis
            + " ms and callers that were refused before are ahead of it; come back later";
    return Optional.of(
        new AdmissionDecision.Refused(
            reason, queue.add(job.id(), workMillis, retryMillis, now.monotonicMillis())));
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
