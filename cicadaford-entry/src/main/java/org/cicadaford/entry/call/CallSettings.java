package org.cicadaford.entry.call;

/**
 * Holds the limits of the call service.
 *
 * @param instanceId id of this entry instance
 * @param zone availability zone of this entry instance
 * @param maxCallsInProgress limit on concurrent calls; more are refused immediately
 * @param maxWaitingPerService limit on calls of one service that wait for a slot
 * @param claimTimeoutMillis time after which a call whose claim was not read back is refused
 * @param maxRecordedBodyBytes size limit of answers recorded for duplicate requests
 * @param backoffBaseMillis upper bound of the random delay before the first retry
 * @param backoffMaxMillis upper bound of the random delay before any retry
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

  /** Returns the default settings for an entry instance. */
  public static CallSettings forInstance(String instanceId, String zone) {
    return new CallSettings(instanceId, zone, 4_096, 256, 1_500, 16_384, 25, 1_000);
  }
}
