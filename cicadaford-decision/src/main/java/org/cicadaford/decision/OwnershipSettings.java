package org.cicadaford.decision;

/**
 * Configures the failure detection and claim timing of a zone's ownership, in milliseconds.
 *
 * @param heartbeatMillis interval between heartbeats of the owner
 * @param missedHeartbeats consecutive missed heartbeats after which the owner is considered dead
 * @param batchIntervalMillis maximum interval between batches of an owner
 * @param batchSilenceMillis time without a batch after which the owner is considered stuck although
 *     its heartbeats arrive
 * @param claimJitterMillis range of the random delay before a claim, so that candidates rarely
 *     claim together
 * @param claimAnswerMillis time to wait for a claim to be read back before writing another
 */
public record OwnershipSettings(
    long heartbeatMillis,
    int missedHeartbeats,
    long batchIntervalMillis,
    long batchSilenceMillis,
    long claimJitterMillis,
    long claimAnswerMillis) {

  /** Default settings. */
  public static final OwnershipSettings DEFAULT =
      new OwnershipSettings(500, 3, 2_000, 6_000, 1_500, 3_000);
}
