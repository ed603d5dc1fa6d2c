package org.cicadaford.entry.call;

/**
 * Limits of the call service.
 *
 * @param instanceId this entry instance
 * @param zone its availability zone
 * @param maxCallsInProgress calls beyond this number are refused at once
 * @param maxWaitingPerService calls of one service that may wait for a slot
 * @param claimTimeoutMillis time in which a claim must be read back; then the call is refused
 * @param maxRecordedBodyBytes largest answer that is kept for repeated requests
 * @param backoffBaseMillis bound of the random delay before the first retry
 * @param backoffMaxMillis largest bound of that delay
 */
public record CallSettings(
    String instanceId,
    String zone,
    int maxCallsInProgress,
    int maxWaitingPerService,
    long claimTimeoutMillis,
    int maxRecordedBodyBytes,
    long backoffBaseMillis,
    long backoffMaxMillis) {

  /** Returns the settings of the design for an entry instance. */
  public static CallSettings forInstance(String instanceId, String zone) {
    return new CallSettings(instanceId, zone, 4_096, 256, 1_500, 16_384, 25, 1_000);
  }
}
