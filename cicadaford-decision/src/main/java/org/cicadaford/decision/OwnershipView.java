package org.cicadaford.decision;

/**
 * Holds what an entry instance knows about the ownership of its zone. Times are by its own clock.
 *
 * @param instanceId this instance
 * @param zoneComplete whether the state of the zone is complete
 * @param epoch epoch that the stream shows; -1 if the zone was never owned
 * @param ownerInstanceId owner that the stream shows
 * @param ownEpoch epoch for which this instance acts as owner; -1 if it does not
 * @param peerEpoch newest epoch in a peer's heartbeat; -1 if there was none
 * @param followingSinceMillis time at which this instance began to follow the stream
 * @param lastHeartbeatAtMillis time of the last heartbeat of the stream's owner, or 0
 * @param lastBatchReadAtMillis time at which the last valid claim or batch was read, or 0
 * @param logReadAtMillis time at which the tail of the stream was last read
 * @param handOverEpoch epoch of the newest handover received from a peer; -1 if there was none
 * @param handOverAtMillis time at which that handover arrived, or 0
 * @param claimedAtMillis time at which this instance last wrote a claim, or 0
 * @param stopping whether this instance is shutting down
 */
public record OwnershipView(
    String instanceId,
    boolean zoneComplete,
    long epoch,
    String ownerInstanceId,
    long ownEpoch,
    long peerEpoch,
    long followingSinceMillis,
    long lastHeartbeatAtMillis,
    long lastBatchReadAtMillis,
    long logReadAtMillis,
    long handOverEpoch,
    long handOverAtMillis,
    long claimedAtMillis,
    boolean stopping) {

  boolean isOwner() {
    return ownEpoch != ConfigState.NO_OFFSET;
  }
}
