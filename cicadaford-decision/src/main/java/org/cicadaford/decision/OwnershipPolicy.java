package org.cicadaford.decision;

import org.apache.commons.rng.simple.RandomSource;

/**
 * Decides when an entry instance claims its zone, acts as its owner, and steps down.
 *
 * <p>Claims are safe at any time, because only batches of the newest epoch take effect. This policy
 * only avoids needless claims.
 */
public final class OwnershipPolicy {

  /**
   * After a handover the zone certainly has no owner, so only a fraction of the jitter is needed.
   */
  private static final int HANDOVER_JITTER_DIVISOR = 4;

  /**
   * Heartbeat intervals within which the log must have answered; a long poll lasts up to one of
   * them.
   */
  private static final int LOG_READ_HEARTBEATS = 2;

  private final OwnershipSettings settings;

  /** Action that the instance should take now. */
  public enum Action {
    /** Follow the stream. */
    FOLLOW,
    /** Write a claim. */
    CLAIM,
    /** Start acting as owner of the epoch that the stream shows. */
    BEGIN,
    /** Continue as owner. */
    OWN,
    /**
     * Stop acting as owner because another instance has replaced it, and send that one the lease
     * handover.
     */
    STEP_DOWN,
    /**
     * Stop acting as owner because the instance is shutting down, and send peers the lease
     * handover.
     */
    HAND_OVER
  }

  /** Creates the policy. */
  public OwnershipPolicy(OwnershipSettings settings) {
    this.settings = settings;
  }

  /** Returns what to do now. */
  public Action decide(OwnershipView view, long nowMillis) {
    if (view.isOwner()) {
      return decideAsOwner(view);
    }
    boolean recordedOwner = view.instanceId().equals(view.ownerInstanceId());
    if (view.stopping() || !view.zoneComplete()) {
      return Action.FOLLOW;
    }
    if (recordedOwner && claimedByThisProcess(view)) {
      return view.peerEpoch() > view.epoch() ? Action.FOLLOW : Action.BEGIN;
    }
    return isClaimDue(view, nowMillis) ? Action.CLAIM : Action.FOLLOW;
  }

  private static Action decideAsOwner(OwnershipView view) {
    if (view.epoch() != view.ownEpoch() || view.peerEpoch() > view.ownEpoch()) {
      return Action.STEP_DOWN;
    }
    return view.stopping() ? Action.HAND_OVER : Action.OWN;
  }

  /**
   * Returns whether the claim was made since this instance started; an earlier one was made by a
   * previous process of the same id.
   */
  private static boolean claimedByThisProcess(OwnershipView view) {
    return view.claimedAtMillis() > 0;
  }

  private boolean isClaimDue(OwnershipView view, long nowMillis) {
    long maxBatchGapMillis = settings.batchIntervalMillis() + settings.heartbeatMillis();
    boolean logReadable =
        nowMillis - view.logReadAtMillis() <= LOG_READ_HEARTBEATS * settings.heartbeatMillis();
    boolean claimPending =
        view.claimedAtMillis() > 0
            && nowMillis - view.claimedAtMillis() < settings.claimAnswerMillis();
    if (!logReadable || claimPending) {
      return false;
    }
    long jitterMillis = jitterMillis(view.instanceId(), view.epoch());
    long heartbeatAgeMillis = ageMillis(view.lastHeartbeatAtMillis(), view, nowMillis);
    long batchAgeMillis = ageMillis(view.lastBatchReadAtMillis(), view, nowMillis);
    long missedMillis = settings.heartbeatMillis() * settings.missedHeartbeats();
    // A batch shows that the owner is alive too: a failed peer link alone must not make it lose the
    // zone.
    boolean ownerDead =
        heartbeatAgeMillis >= missedMillis + jitterMillis
            && batchAgeMillis >= maxBatchGapMillis + jitterMillis;
    boolean ownerHandedOver =
        view.handOverEpoch() == view.epoch()
            && view.handOverAtMillis() > 0
            && nowMillis - view.handOverAtMillis() >= jitterMillis / HANDOVER_JITTER_DIVISOR;
    boolean ownerStalled = batchAgeMillis >= settings.batchSilenceMillis() + jitterMillis;
    return ownerHandedOver || ownerDead || ownerStalled;
  }

  private static long ageMillis(long atMillis, OwnershipView view, long nowMillis) {
    return nowMillis - Math.max(atMillis, view.followingSinceMillis());
  }

  /** Returns a delay that differs by instance, and by epoch so that no instance is always last. */
  long jitterMillis(String instanceId, long epoch) {
    long seed = 31L * instanceId.hashCode() + epoch;
    return RandomSource.SPLIT_MIX_64.create(seed).nextLong(settings.claimJitterMillis());
  }
}
