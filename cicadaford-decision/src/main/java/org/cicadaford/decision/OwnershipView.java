package org.cicadaford.decision;

/**
 * What an entry instance knows of the ownership of its zone. Times are by its own clock.
 *
 * @param instanceId this instance
 * @param zoneComplete whether the state of the zone is complete
 * @param epoch epoch that the stream shows; -1 if the zone was never owned
 * @param ownerInstanceId owner that the stream shows
 * @param ownEpoch epoch for which this instance acts as owner; -1 if it does not
 * @param peerEpoch newest epoch that a peer's heartbeat told; -1 if none did
 * @param followingSinceMillis time at which this instance began to follow the stream
 * @param lastHeartbeatAtMillis time of the last heartbeat of the stream's owner, or 0
 * @param lastBatchReadAtMillis time at which the last claim or batch in force was read, or 0
 * @param logReadAtMillis time at which the tail of the stream was last read
 * @param handOverEpoch epoch of the newest handover that a peer told; -1 if none did
 * @param handOverAtMillis time at which it arrived, or 0
 * @param claimedAtMillis time at which this instance last wrote a claim, or 0
 * @param stopping whether this instance was told to stop
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
