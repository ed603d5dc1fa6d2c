package org.cicadaford.cell;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides which submissions are accepted, and which are beyond their team's share.
 *
 * <p>The load that it answers is one team that sends many times its usual: its excess is accepted
 * as long as the backlog is bounded, but goes behind the work of the others.
 */
final class AdmissionPolicy {

  /** Largest number of accepted jobs that have not started; bounds memory and recovery time. */
  static final int MAX_PENDING_JOBS = 3_000;

  /** Time after which a refused caller may try again, in milliseconds. */
  static final long RETRY_AFTER_MILLIS = 1_000;

  /** Seconds of its share that a team may use at once. */
  private static final double BURST_SECONDS = 2;

  /** A token bucket of one team. */
  private static final class Bucket {
    private double tokens;
    private long filledAtMillis;
  }

  private final Map<String, Bucket> buckets = new HashMap<>();

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
