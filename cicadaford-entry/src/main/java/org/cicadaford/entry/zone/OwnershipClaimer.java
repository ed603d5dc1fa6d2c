package org.cicadaford.entry.zone;

import java.util.List;
import java.util.UUID;
import org.cicadaford.decision.ConfigState;
import org.cicadaford.decision.LeaseHandover;
import org.cicadaford.decision.OwnershipPolicy;
import org.cicadaford.decision.OwnershipPolicy.Action;
import org.cicadaford.decision.OwnershipSettings;
import org.cicadaford.decision.OwnershipView;
import org.cicadaford.decision.ZoneState;
import org.cicadaford.entry.stream.LogWriter;
import org.cicadaford.entry.stream.StreamPosition;
import org.cicadaford.model.ZoneRecord.OwnerClaimed;
import org.cicadaford.platform.Member;
import org.cicadaford.platform.Member.State;

/** Collects the inputs of {@link OwnershipPolicy} and appends claims of the zone. */
final class OwnershipClaimer {

  private final ZoneOwnerSettings settings;
  private final LogWriter writer;
  private final OwnershipPolicy policy = new OwnershipPolicy(OwnershipSettings.DEFAULT);
  private long followingSinceMillis;
  private long lastBatchReadAtMillis;
  private long lastHeartbeatAtMillis;
  private long peerEpoch = ConfigState.NO_OFFSET;
  private long handOverEpoch = ConfigState.NO_OFFSET;
  private long handOverAtMillis;
  private long claimedAtMillis;
  private boolean stopping;

  OwnershipClaimer(ZoneOwnerSettings settings, LogWriter writer) {
    this.settings = settings;
    this.writer = writer;
  }

  /** Handles a claim or batch that took effect. */
  void onOwnerRecord(long readAtMillis) {
    lastBatchReadAtMillis = readAtMillis;
  }

  /** Handles the end of the stream. */
  void onEndRead(long requestedAtMillis) {
    if (followingSinceMillis == 0) {
      followingSinceMillis = requestedAtMillis;
    }
  }

  void onPeerHeartbeat(long epoch, long receivedAtMillis) {
    peerEpoch = Math.max(peerEpoch, epoch);
    lastHeartbeatAtMillis = receivedAtMillis;
  }

  void onHandOver(LeaseHandover handOver, long receivedAtMillis) {
    if (handOver.epoch() >= handOverEpoch) {
      handOverEpoch = handOver.epoch();
      handOverAtMillis = receivedAtMillis;
    }
  }

  /** Gives up ownership and makes no further claims. */
  void stop() {
    stopping = true;
  }

  /**
   * Forgets the claim. An owner that lost its record of leases must not continue in the same epoch,
   * since it would not wait for the leases that it granted itself.
   */
  void forgetClaim() {
    claimedAtMillis = 0;
    followingSinceMillis = 0;
  }

  /** Returns the action to take, after appending a claim if one is due. */
  Action decide(
      ZoneState state,
      long ownEpoch,
      StreamPosition lastEndPosition,
      List<Member> entries,
      long nowMillis) {
    if (isLeaving(state.ownerInstanceId(), entries) && handOverEpoch < state.epoch()) {
      // An instance announces that it is leaving only after it has stopped acting as owner.
      handOverEpoch = state.epoch();
      handOverAtMillis = nowMillis;
    }
    boolean usable =
        state.isComplete() || lastEndPosition.atEnd() && lastEndPosition.nextOffset() == 0;
    OwnershipView view =
        new OwnershipView(
            settings.instanceId(),
            usable && followingSinceMillis > 0,
            state.epoch(),
            state.ownerInstanceId(),
            ownEpoch,
            peerEpoch,
            followingSinceMillis,
            lastHeartbeatAtMillis,
            lastBatchReadAtMillis,
            lastEndPosition.atEnd() ? lastEndPosition.requestedAtMillis() : 0,
            handOverEpoch,
            handOverAtMillis,
            claimedAtMillis,
            stopping);
    Action action = policy.decide(view, nowMillis);
    if (action == Action.CLAIM) {
      claimedAtMillis = nowMillis;
      String recordId = "claim-" + UUID.randomUUID();
      writer.append(
          settings.stream(), new OwnerClaimed(recordId, settings.instanceId(), nowMillis));
    }
    return action;
  }

  private static boolean isLeaving(String ownerInstanceId, List<Member> entries) {
    return entries.stream()
        .anyMatch(m -> m.instanceId().equals(ownerInstanceId) && m.state() == State.LEAVING);
  }
}
