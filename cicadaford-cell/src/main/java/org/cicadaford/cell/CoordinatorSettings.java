package org.cicadaford.cell;

/**
 * Settings of the coordinator. Times are in milliseconds.
 *
 * @param maxLeaseMillis longest lease that a worker grants
 * @param leaseReachMillis longest time that a lease lasts from the last record stored before it
 * @param maxClockSlowdown largest part by which a worker's clock may be slow, for example 0.02
 * @param startValidMillis time after which a start that is still on its way is void
 * @param lateOrderMillis longest time after which an unanswered order may still be carried out
 * @param renewalWaitMillis time for which a worker may hold back the answer to a renewal
 * @param answerMillis time in which a worker answers an order
 * @param unreachableMillis time without an answer after which a worker gets no new task
 * @param stallMillis time without progress after which a task is taken as stalled
 * @param adviceWorkerCount number of workers named in a call for advice
 * @param ticketMarginMillis time before a ticket's end from which it is not used any more
 * @param keepEndedMillis time for which an ended job is kept
 */
public record CoordinatorSettings(
    long maxLeaseMillis,
    long leaseReachMillis,
    double maxClockSlowdown,
    long startValidMillis,
    long lateOrderMillis,
    long renewalWaitMillis,
    long answerMillis,
    long unreachableMillis,
    long stallMillis,
    int adviceWorkerCount,
    long ticketMarginMillis,
    long keepEndedMillis) {

  /** Largest part by which a worker's clock may be slow; stated by the platform's protocol. */
  private static final double MAX_CLOCK_SLOWDOWN = 0.02;

  /** Time from the loss of the store for which running work goes on; outages last up to 9 s. */
  private static final long OUTAGE_MILLIS = 10_000;

  /** Leaves room for an order's answer and one repetition before the run is looked for. */
  private static final long START_VALID_MILLIS = 1_500;

  /** Orders may be carried out up to 12 s late, as the platform's users state. */
  private static final long LATE_ORDER_MILLIS = 12_500;

  /** The platform allows up to 2 s; with 1 s, two answers may be lost within a lease. */
  private static final long RENEWAL_WAIT_MILLIS = 1_000;

  /** Most workers answer within 5 ms; slow links and busy workers take longer. */
  private static final long ANSWER_MILLIS = 600;

  /** A renewal that waits, and its answer, with a reserve of 0.3 s. */
  private static final long UNREACHABLE_MILLIS = 1_900;

  /** Tasks make progress at each report; two and a half reports without any are a stall. */
  private static final long STALL_MILLIS = 2_500;

  /** The protocol takes 100, but a call lasts longer with each, and credit counts on 30. */
  static final int ADVICE_WORKER_COUNT = 30;

  /** Time for a start order to reach its worker while the ticket is still valid. */
  private static final long TICKET_MARGIN_MILLIS = 200;

  /**
   * Returns the time after which no lease that an earlier coordinator has granted is in force, from
   * the claim of its successor on.
   */
  long earlierLeasesMillis() {
    return (long) Math.ceil(leaseReachMillis / (1 - maxClockSlowdown));
  }

  /** Returns the settings for a platform with the given bounds. */
  public static CoordinatorSettings forPlatform(long maxLeaseMillis, long keepEndedMillis) {
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
        keepEndedMillis);
  }
}
