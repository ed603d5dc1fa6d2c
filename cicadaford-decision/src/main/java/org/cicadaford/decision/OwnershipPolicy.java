package org.cicadaford.decision;

import org.apache.commons.rng.simple.RandomSource;

/**
 * Decides when an entry instance claims its zone, acts as its owner, and stops doing so.
 *
 * <p>Claims are safe at any time, because only batches of the newest epoch take effect. The rules
 * here only keep instances from claiming from each other without need.
 */
public final class OwnershipPolicy {

  /** After a handover the zone has no owner for certain, so the jitter is a fraction. */
  private static final int LEFT_JITTER_DIVISOR = 4;

  /** Heartbeats within which the log must have answered; a long poll lasts up to one of them. */
  private static final int LOG_READ_HEARTBEATS = 2;

  private final OwnershipSettings settings;

  /** What the instance is to do now. */
  public enum Action {
    /** Follow the stream. */
    FOLLOW,
    /** Write a claim. */
    CLAIM,
    /** Begin to act as owner of the epoch that the stream shows. */
    BEGIN,
    /** Go on as owner. */
    OWN,
    /** Stop acting as owner, because another one has replaced it, and tell it the last leases. */
    STEP_DOWN,
    /** Stop acting as owner, because the instance is to stop, and tell peers the last leases. */
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
    if (recordedOwner && isOwnClaim(view)) {
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

  /** An instance that has not claimed since it began is not the one that a claim names. */
  private static boolean isOwnClaim(OwnershipView view) {
    return view.claimedAtMillis() > 0;
  }

  private boolean isClaimDue(OwnershipView view, long nowMillis) {
    long silenceMillis = settings.batchIntervalMillis() + settings.heartbeatMillis();
    boolean logReadable =
        nowMillis - view.logReadAtMillis() <= LOG_READ_HEARTBEATS * settings.heartbeatMillis();
    boolean claimOpen =
        view.claimedAtMillis() > 0
            && nowMillis - view.claimedAtMillis() < settings.claimAnswerMillis();
    if (!logReadable || claimOpen) {
      return false;
    }
    long jitterMillis = jitterMillis(view.instanceId(), view.epoch());
    long heartbeatAgeMillis = ageMillis(view.lastHeartbeatAtMillis(), view, nowMillis);
    long batchAgeMillis = ageMillis(view.lastBatchReadAtMillis(), view, nowMillis);
    long missedMillis = settings.heartbeatMillis() * settings.missedHeartbeats();
    // A batch is a sign of life as well: a silent peer link alone must not cost the owner its zone.
    boolean ownerGone =
        heartbeatAgeMillis >= missedMillis + jitterMillis
            && batchAgeMillis >= silenceMillis + jitterMillis;
    boolean ownerLeft =
        view.handOverEpoch() == view.epoch()
            && view.handOverAtMillis() > 0
            && nowMillis - view.handOverAtMillis() >= jitterMillis / LEFT_JITTER_DIVISOR;
    boolean ownerStuck = batchAgeMillis >= settings.batchSilenceMillis() + jitterMillis;
    return ownerLeft || ownerGone || ownerStuck;
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
