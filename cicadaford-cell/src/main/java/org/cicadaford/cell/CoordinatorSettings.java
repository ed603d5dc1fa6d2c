package org.cicadaford.cell;

/**
 * Settings of the coordinator. Times are in milliseconds.
 *
 * @param maxLeaseMillis maximum lease that a worker grants
 * @param maxLeaseSinceStoreMillis maximum time from the last stored record to the end of a lease
 * @param maxClockSlowdown maximum fraction by which the clock of a worker may be slow, for example
 *     0.02
 * @param startValidMillis time after which a start order in transit is void
 * @param lateOrderMillis maximum time after which an unanswered order may still be carried out
 * @param renewalWaitMillis time for which a worker may delay its answer to a renewal
 * @param answerMillis time in which a worker answers an order
 * @param unreachableMillis time without an answer after which a worker gets no new tasks
 * @param stallMillis time without progress after which a task is considered stalled
 * @param adviceWorkerCount number of workers named in a call for advice
 * @param ticketMarginMillis time before the expiry of a ticket from which it is not used
 * @param keepEndedMillis retention time of an ended job
 * @param bounds bounds that the platform states for the deployment
 */
public record CoordinatorSettings(
    long maxLeaseMillis,
    long maxLeaseSinceStoreMillis,
    double maxClockSlowdown,
    long startValidMillis,
    long lateOrderMillis,
    long renewalWaitMillis,
    long answerMillis,
    long unreachableMillis,
    long stallMillis,
    int adviceWorkerCount,
    long ticketMarginMillis,
    long keepEndedMillis,
    DeploymentBounds bounds) {

  /** Maximum fraction by which the clock of a worker may be slow, as specified by the platform. */
  private static final double MAX_CLOCK_SLOWDOWN = 0.02;

  /** Time for which tasks keep running while the store is unavailable; outages last up to 9 s. */
  private static final long OUTAGE_MILLIS = 10_000;

  /** Allows for an unanswered order and one retry before the run is looked up. */
  private static final long START_VALID_MILLIS = 1_500;

  /** Orders may be carried out up to 12 s late, as specified by the platform. */
  private static final long LATE_ORDER_MILLIS = 12_500;

  /** The platform allows up to 2 s; with 1 s, two answers may be lost within a lease. */
  private static final long RENEWAL_WAIT_MILLIS = 1_000;

  /** Most workers answer within 5 ms; slow links and busy workers take longer. */
  private static final long ANSWER_MILLIS = 600;

  /** A delayed renewal and its answer, plus a margin of 0.3 s. */
  private static final long UNREACHABLE_MILLIS = 1_900;

  /** Tasks make progress in each report; two and a half reports without progress are a stall. */
  private static final long STALL_MILLIS = 2_500;

  /** The protocol allows 100, but each lengthens the call; the objective assumes 30. */
  static final int ADVICE_WORKER_COUNT = 30;

  /** Time for a start order to reach its worker before the ticket expires. */
  private static final long TICKET_MARGIN_MILLIS = 200;

  /** Returns the time after the claim of a new coordinator by which all earlier leases end. */
  long earlierLeaseExpiryMillis() {
    return (long) Math.ceil(maxLeaseSinceStoreMillis / (1 - maxClockSlowdown));
  }

  /** Returns the time after an order by which all leases end that it grants when it is late. */
  long latestLateLeaseMillis() {
    return lateOrderMillis + (long) Math.ceil(maxLeaseMillis / (1 - maxClockSlowdown));
  }

  /** Returns the settings for a platform with the given limits and the default bounds. */
  public static CoordinatorSettings forPlatform(long maxLeaseMillis, long keepEndedMillis) {
    return forPlatform(maxLeaseMillis, keepEndedMillis, DeploymentBounds.DEFAULT);
  }

  /** Returns the settings for a platform with the given limits and bounds. */
  public static CoordinatorSettings forPlatform(
      long maxLeaseMillis, long keepEndedMillis, DeploymentBounds bounds) {
    return new CoordinatorSettings(
        maxLeaseMillis,
        Math.max(maxLeaseMillis, OUTAGE_MILLIS),
        MAX_CLOCK_SLOWDOWN,
        START_VALID_MILLIS,
        LATE_ORDER_MILLIS,
        RENEWAL_WAIT_MILLIS,
        ANSWER_MILLIS,
        UNREACHABLE_MILLIS,
        STALL_MILLIS,
        ADVICE_WORKER_COUNT,
        TICKET_MARGIN_MILLIS,
        keepEndedMillis,
        bounds);
  }
}
