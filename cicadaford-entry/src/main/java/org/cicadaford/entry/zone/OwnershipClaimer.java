package org.cicadaford.entry.zone;

import java.util.List;
import java.util.UUID;
import java.util.random.RandomGenerator;
import org.cicadaford.decision.ZoneState;
import org.cicadaford.entry.stream.LogWriter;
import org.cicadaford.entry.stream.StreamPosition;
import org.cicadaford.model.ZoneRecord.OwnerClaimed;
import org.cicadaford.platform.Member;
import org.cicadaford.platform.Member.State;

/** Decides when this instance claims the zone, and writes the claim. */
final class OwnershipClaimer {

  /** Time without a record of the owner after which it is taken for gone. */
  static final long OWNER_SILENT_MILLIS = 6_000;

  private static final long END_FRESH_MILLIS = 2_500;
  private static final long MAX_JITTER_MILLIS = 600;

  private final ZoneOwnerSettings settings;
  private final LogWriter writer;
  private final RandomGenerator random;
  private final OutstandingAppend claim = new OutstandingAppend();
  private long lastRecordAtMillis;
  private long claimableSinceMillis;
  private long jitterMillis;

  OwnershipClaimer(ZoneOwnerSettings settings, LogWriter writer, RandomGenerator random) {
    this.settings = settings;
    this.writer = writer;
    this.random = random;
  }

  /** Takes in that a valid record of the owner was read. */
  void onOwnerRecord(long ownerClockMillis, long readAtMillis) {
    // The owner's clock tells the age of records that are read long after they were written.
    lastRecordAtMillis = Math.max(lastRecordAtMillis, Math.min(ownerClockMillis, readAtMillis));
    claimableSinceMillis = 0;
  }

  /** Takes in a record id that was read and returns whether it is this instance's claim. */
  boolean readBack(String recordId) {
    return claim.readBack(recordId);
  }

  /** Writes a claim if the owner is gone. */
  void step(ZoneState state, StreamPosition lastEnd, List<Member> entries, long nowMillis) {
    claim.settle(lastEnd, nowMillis);
    if (claim.isWaiting() || !isClaimable(state, lastEnd, entries, nowMillis)) {
      return;
    }
    if (claimableSinceMillis == 0) {
      claimableSinceMillis = nowMillis;
      jitterMillis = random.nextLong(MAX_JITTER_MILLIS);
    }
    if (nowMillis - claimableSinceMillis >= jitterMillis) {
      claimableSinceMillis = 0;
      String recordId = "claim-" + UUID.randomUUID();
      OwnerClaimed record = new OwnerClaimed(recordId, settings.instanceId(), nowMillis);
      claim.begin(recordId, writer.append(settings.stream(), record));
    }
  }

  private boolean isClaimable(
      ZoneState state, StreamPosition lastEnd, List<Member> entries, long nowMillis) {
    boolean readToEnd =
        lastEnd.atEnd() && nowMillis - lastEnd.requestedAtMillis() <= END_FRESH_MILLIS;
    boolean usable = state.isComplete() || lastEnd.nextOffset() == 0;
    if (!readToEnd || !usable) {
      return false;
    }
    boolean noOwner = state.ownerInstanceId().isEmpty();
    boolean silent = nowMillis - lastRecordAtMillis >= OWNER_SILENT_MILLIS;
    return noOwner || silent || isLeaving(state.ownerInstanceId(), entries);
  }

  private static boolean isLeaving(String ownerInstanceId, List<Member> entries) {
    return entries.stream()
        .anyMatch(m -> m.instanceId().equals(ownerInstanceId) && m.state() == State.LEAVING);
  }
}
