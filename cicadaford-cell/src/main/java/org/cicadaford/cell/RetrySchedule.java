package org.cicadaford.cell;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Assigns retry times to the refused callers of one team, one after the other.
 *
 * <p>The retry times are spaced by the time that the team limit takes for the work, next to the
 * guaranteed work of the team. A caller that retries at its time is accepted, and work that was not
 * refused before waits until the last retry time has passed, so retry times are kept.
 */
final class RetrySchedule {

  /** Time for which a caller may be late, in milliseconds. */
  private static final long GRACE_MILLIS = 3_000;

  /** Tolerance for early retries, in milliseconds; retry delays are sent in whole seconds. */
  private static final long EARLY_TOLERANCE_MILLIS = 100;

  /** Maximum number of stored retry times; other callers are evaluated anew. */
  private static final int MAX_RETRY_TIMES = 3_000;

  /** Averaging time of the guaranteed work of the team, in milliseconds. */
  private static final double AVERAGING_MILLIS = 2_000;

  /** Minimum share of the limit assumed to be left by guaranteed work. */
  private static final double MIN_SPARE_SHARE = 0.1;

  private final Map<String, Long> retryTimeByJob = new LinkedHashMap<>();
  private long lastRetryTimeMillis;
  private double guaranteedMillis;
  private long guaranteedAtMillis;

  /** Records guaranteed work of the team, as the time that the team limit takes for it. */
  void recordGuaranteedWork(long workMillis, long nowMillis) {
    guaranteedMillis = guaranteedWorkAt(nowMillis) + workMillis;
    guaranteedAtMillis = nowMillis;
  }

  private double guaranteedWorkAt(long nowMillis) {
    return guaranteedMillis * Math.exp((guaranteedAtMillis - nowMillis) / AVERAGING_MILLIS);
  }

  /** Assigns a retry time to a refused caller; returns the time until it. */
  long assign(String jobId, long workMillis, long minDelayMillis, long nowMillis) {
    double spareShare =
        Math.max(MIN_SPARE_SHARE, 1 - guaranteedWorkAt(nowMillis) / AVERAGING_MILLIS);
    long spacingMillis = Math.round(workMillis / spareShare);
    lastRetryTimeMillis = Math.max(lastRetryTimeMillis + spacingMillis, nowMillis + minDelayMillis);
    removeExpired(nowMillis);
    if (retryTimeByJob.size() < MAX_RETRY_TIMES) {
      retryTimeByJob.put(jobId, lastRetryTimeMillis);
    }
    return lastRetryTimeMillis - nowMillis;
  }

  private void removeExpired(long nowMillis) {
    Iterator<Long> retryTimes = retryTimeByJob.values().iterator();
    while (retryTimes.hasNext() && retryTimes.next() + GRACE_MILLIS < nowMillis) {
      retryTimes.remove();
    }
  }

  /** Removes the retry time of a caller; returns whether it was due and had not expired. */
  boolean consume(String jobId, long nowMillis) {
    Long retryTime = retryTimeByJob.get(jobId);
    if (retryTime == null || retryTime - EARLY_TOLERANCE_MILLIS > nowMillis) {
      return false;
    }
    retryTimeByJob.remove(jobId);
    return retryTime + GRACE_MILLIS >= nowMillis;
  }

  /** Returns whether refused callers are still due to retry. */
  boolean hasPendingRetries(long nowMillis) {
    return nowMillis < lastRetryTimeMillis;
  }
}
