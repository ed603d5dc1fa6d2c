package org.cicadaford.decision;

/**
 * Times by which the entry instances of a zone agree on its owner, in milliseconds.
 *
 * @param heartbeatMillis time between two heartbeats of the owner
 * @param missedHeartbeats heartbeats without which the owner counts as gone
 * @param batchIntervalMillis longest time between two batches of an owner
 * @param batchSilenceMillis time without a batch after which the owner counts as gone although its
 *     heartbeats come
 * @param claimJitterMillis candidates claim at different times within this range
 * @param claimAnswerMillis time for which a claim is awaited before the next one is written
 */
public record OwnershipSettings(
    long heartbeatMillis,
    int missedHeartbeats,
    long batchIntervalMillis,
    long batchSilenceMillis,
    long claimJitterMillis,
    long claimAnswerMillis) {

  /** Settings of the design. */
  public static final OwnershipSettings DEFAULT =
      new OwnershipSettings(500, 3, 2_000, 6_000, 1_500, 3_000);
}
