package org.cicadaford.cell;

/**
 * Settings of the coordinator. Times are in milliseconds.
 *
 * @param maxLeaseMillis longest lease that a worker grants
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

  /**
   * Returns the settings for a platform with the given bounds.
   *
   * <p>Orders may be carried out up to 12 s late and clocks of workers may be 2% slow, as the
   * platform's protocol states. The other times leave room for two lost answers within a lease.
   */
  public static CoordinatorSettings forPlatform(long maxLeaseMillis, long keepEndedMillis) {
    return new CoordinatorSettings(
        maxLeaseMillis, 0.02, 1_500, 12_500, 1_000, 600, 1_900, 2_500, 30, 200, keepEndedMillis);
  }
}
