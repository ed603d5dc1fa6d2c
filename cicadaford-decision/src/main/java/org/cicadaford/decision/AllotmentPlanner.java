package org.cicadaford.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.cicadaford.decision.OwnerDecision.AllotmentChange;
import org.cicadaford.model.ConfigRecord.AllotmentFence;
import org.cicadaford.model.TeamPolicy;

/**
 * Plans how much of each team's limit the zone holds (its allotment), and tells the scheduler how
 * much of it may be used.
 *
 * <p>Zones take allotment in chunks of a quarter of their equal share of the limit: small enough
 * that a zone with little work holds little, large enough that most tasks need no change. Rules:
 *
 * <ul>
 *   <li>The first change of an epoch has an amount of zero and fences off the previous owner. No
 *       task starts until the configuration shows it.
 *   <li>A zone takes what its waiting work needs plus one chunk, and returns what it has not needed
 *       for 30 s.
 *   <li>A zone above its equal share leaves the last chunk in the pool. An exhausted pool therefore
 *       shows that a zone below its share needs more. Zones above their share then return idle
 *       allotment at once, and one chunk every 5 s as tasks end.
 *   <li>When the limit is reduced below what the zones hold, each zone reduces its allotment by the
 *       same fraction, but not below its equal share. The target is recomputed every 10 s, because
 *       the zones see the change at different times.
 * </ul>
 *
 * <p>A return counts as soon as it is proposed, and proposed placements count as used until the
 * next batch is read back. Changes carry sequence numbers: once a change is seen in the
 * configuration, earlier ones can no longer take effect.
 */
final class AllotmentPlanner implements TeamLimits {

  static final long IDLE_MILLIS = 30_000;

  private static final long MIN_CHUNK_MILLICORES = 1_000;
  private static final int CHUNKS_PER_SHARE = 4;
  private static final long FULL_PASS_INTERVAL_MILLIS = 1_000;
  private static final long START_CAP_INTERVAL_MILLIS = 5_000;
  private static final long TARGET_INTERVAL_MILLIS = 10_000;

  /**
   * Time after which an unconfirmed change is followed by an empty one that shows whether it took
   * effect.
   */
  private static final long UNCONFIRMED_CHANGE_TIMEOUT_MILLIS = 5_000;

  /** Maximum changes per second; 11 zones together stay well within the log's append rate. */
  private static final int CHANGES_PER_SECOND = 10;

  private static final int CHANGE_BURST = 40;

  private record PendingChange(long sequence, String team, long millicores, long sinceMillis) {}

  private record Target(long limitMillicores, long millicores, long setAtMillis) {}

  private record StartCap(long capMillicores, long setAtMillis) {}

  /** Largest need of a team in the current and the previous window of {@link #IDLE_MILLIS}. */
  private record Peak(long windowStartMillis, long current, long previous) {
    private Peak with(long need, long nowMillis) {
      if (nowMillis - windowStartMillis >= IDLE_MILLIS) {
        return new Peak(nowMillis, need, current);
      }
      return new Peak(windowStartMillis, Math.max(current, need), previous);
    }

    private long need() {
      return Math.max(current, previous);
    }
  }

  private final String zone;
  private final List<PendingChange> pendingChanges = new ArrayList<>();
  private final Map<String, Long> proposedByTeam = new HashMap<>();
  private final Map<String, Target> targets = new HashMap<>();
  private final Map<String, StartCap> startCaps = new HashMap<>();
  private final Map<String, Peak> peaks = new HashMap<>();
  private long epoch = ConfigState.NO_OFFSET;
  private long lastSequence;
  private long proposedAtSequence = -1;
  private long fullPassAtMillis = Long.MIN_VALUE / 2;
  private double changeTokens = CHANGE_BURST;
  private long refilledAtMillis;

  AllotmentPlanner(String zone) {
    this.zone = zone;
  }

  @Override
  public long startableMillicores(OwnerInputs inputs, String team) {
    if (!hasFencedPreviousOwner(inputs)) {
      return 0;
    }
    long startable = heldMillicores(inputs, team);
    Target target = targets.get(team);
    if (inputs.config().freeMillicores(team) < 0) {
      startable = Math.min(startable, target == null ? 0 : target.millicores());
    }
    StartCap startCap = startCaps.get(team);
    return startCap == null ? startable : Math.min(startable, startCap.capMillicores());
  }

  @Override
  public long excessMillicores(OwnerInputs inputs, String team) {
    Target target = targets.get(team);
    if (target == null
        || inputs.config().freeMillicores(team) >= 0
        || !hasFencedPreviousOwner(inputs)) {
      return 0;
    }
    return Math.max(0, inputs.zone().committedMillicores(team) - target.millicores());
  }

  /**
   * {@inheritDoc}
   *
   * <p>Only one of several batches with the same sequence number takes effect, so the largest
   * proposal counts.
   */
  @Override
  public void onPlacementsProposed(OwnerInputs inputs, String team, long millicores) {
    clearSettledProposals(inputs);
    proposedByTeam.merge(team, millicores, Math::max);
  }

  private void clearSettledProposals(OwnerInputs inputs) {
    if (inputs.zone().sequence() != proposedAtSequence) {
      proposedAtSequence = inputs.zone().sequence();
      proposedByTeam.clear();
    }
  }

  /** Returns the changes to append now, in sequence order. */
  List<AllotmentChange> decide(OwnerInputs inputs, long nowMillis) {
    if (epoch == ConfigState.NO_OFFSET) {
      epoch = inputs.zone().epoch();
    }
    List<AllotmentChange> changes = new ArrayList<>();
    if (epoch == ConfigState.NO_OFFSET || inputs.zone().epoch() != epoch) {
      return changes;
    }
    clearSettledProposals(inputs);
    pendingChanges.removeIf(change -> change.sequence() <= seenSequence(inputs));
    refillTokens(nowMillis);
    if (hasFencedPreviousOwner(inputs)) {
      plan(inputs, nowMillis, changes);
    }
    if (!hasFencedPreviousOwner(inputs) && pendingChanges.isEmpty()
        || isLastChangeUnconfirmed(nowMillis)) {
      add("", 0, nowMillis, changes);
    }
    return changes;
  }

  private boolean isLastChangeUnconfirmed(long nowMillis) {
    return !pendingChanges.isEmpty()
        && nowMillis - pendingChanges.getLast().sinceMillis() >= UNCONFIRMED_CHANGE_TIMEOUT_MILLIS;
  }

  private void plan(OwnerInputs inputs, long nowMillis, List<AllotmentChange> changes) {
    boolean full = nowMillis - fullPassAtMillis >= FULL_PASS_INTERVAL_MILLIS;
    if (full) {
      fullPassAtMillis = nowMillis;
    }
    Collection<String> teams = full ? allTeams(inputs) : inputs.zone().waitingIndex().teams();
    for (String team : teams) {
      if (changeTokens >= 1) {
        planTeam(inputs, team, nowMillis, changes);
      }
    }
  }

  private static Set<String> allTeams(OwnerInputs inputs) {
    Set<String> teams = new TreeSet<>(inputs.zone().waitingIndex().teams());
    teams.addAll(inputs.zone().teamsWithCommitted());
    inputs.config().teams().forEach(team -> teams.add(team.name()));
    return teams;
  }

  private void planTeam(
      OwnerInputs inputs, String team, long nowMillis, List<AllotmentChange> changes) {
    long used = inputs.zone().committedMillicores(team) + proposedByTeam.getOrDefault(team, 0L);
    long need = used + inputs.zone().waitingIndex().waitingMillicores(team);
    Peak peak = peaks.getOrDefault(team, new Peak(nowMillis, 0, 0)).with(need, nowMillis);
    peaks.put(team, peak);
    long free = inputs.config().freeMillicores(team);
    if (free < 0) {
      reduceToTarget(inputs, team, used, nowMillis, changes);
      return;
    }
    targets.remove(team);
    long limit = inputs.config().team(team).map(TeamPolicy::limitMillicores).orElse(0L);
    int zones = Math.max(1, inputs.config().allotmentZoneCount());
    long equalShare = limit / zones;
    long chunk = Math.max(MIN_CHUNK_MILLICORES, equalShare / CHUNKS_PER_SHARE);
    long held = heldMillicores(inputs, team);
    boolean poolExhausted = free < chunk;
    updateStartCap(team, used, poolExhausted ? equalShare : Long.MAX_VALUE, chunk, nowMillis);
    if (isChanging(team)) {
      return;
    }
    long targetHeld = peak.need() > 0 ? roundUp(peak.need(), chunk) + chunk : 0;
    if (poolExhausted) {
      targetHeld = Math.min(targetHeld, equalShare);
    } else {
      targetHeld = Math.min(targetHeld, need + Math.max(chunk, equalShare));
    }
    targetHeld = Math.max(targetHeld, used);
    if (held > targetHeld) {
      add(team, targetHeld - held, nowMillis, changes);
    } else if (need > held) {
      long freeAboveLastChunk = free - chunk;
      long guaranteed = Math.min(free, used == 0 ? need - held : equalShare - held);
      long amount =
          Math.min(roundUp(need - held, chunk) + chunk, Math.max(freeAboveLastChunk, guaranteed));
      if (amount > 0) {
        add(team, amount, nowMillis, changes);
      }
    }
  }

  /**
   * Caps what the team may start, so that the zone can return the allotment of tasks that end until
   * its usage is {@code maxUsed}.
   */
  private void updateStartCap(String team, long used, long maxUsed, long chunk, long nowMillis) {
    if (used <= maxUsed) {
      startCaps.remove(team);
      return;
    }
    StartCap startCap = startCaps.get(team);
    if (startCap == null || nowMillis - startCap.setAtMillis() >= START_CAP_INTERVAL_MILLIS) {
      startCaps.put(team, new StartCap(Math.max(maxUsed, used - chunk), nowMillis));
    }
  }

  private void reduceToTarget(
      OwnerInputs inputs, String team, long used, long nowMillis, List<AllotmentChange> changes) {
    long limit = inputs.config().team(team).map(TeamPolicy::limitMillicores).orElse(0L);
    long held = heldMillicores(inputs, team);
    Target target = targets.get(team);
    if (target == null
        || target.limitMillicores() != limit
        || nowMillis - target.setAtMillis() >= TARGET_INTERVAL_MILLIS) {
      target = new Target(limit, targetMillicores(inputs, team, limit, held), nowMillis);
      targets.put(team, target);
    }
    long targetHeld = Math.max(used, target.millicores());
    if (held > targetHeld && !isChanging(team)) {
      add(team, targetHeld - held, nowMillis, changes);
    }
  }

  /**
   * Returns the zone's share of a reduced limit. It is rounded down to whole cores so that repeated
   * reductions converge, and is at least an equal share so that zones whose tasks cannot be stopped
   * do not drain the other zones.
   */
  private long targetMillicores(OwnerInputs inputs, String team, long limit, long held) {
    long sum = limit - inputs.config().freeMillicores(team);
    long proportional = sum <= 0 ? 0 : (long) ((double) held * limit / sum);
    long equal = limit / Math.max(1, inputs.config().allotmentZoneCount());
    return Math.max(proportional / 1_000 * 1_000, Math.min(held, equal));
  }

  private boolean isChanging(String team) {
    return pendingChanges.stream().anyMatch(change -> change.team().equals(team));
  }

  private void add(String team, long millicores, long nowMillis, List<AllotmentChange> changes) {
    lastSequence++;
    changeTokens--;
    pendingChanges.add(new PendingChange(lastSequence, team, millicores, nowMillis));
    changes.add(new AllotmentChange(team, millicores, lastSequence));
  }

  /** Returns the zone's allotment minus pending returns. */
  private long heldMillicores(OwnerInputs inputs, String team) {
    long held = inputs.config().allotmentMillicores(team, zone);
    long seen = seenSequence(inputs);
    for (PendingChange change : pendingChanges) {
      if (change.sequence() > seen && change.millicores() < 0 && change.team().equals(team)) {
        held += change.millicores();
      }
    }
    return held;
  }

  private boolean hasFencedPreviousOwner(OwnerInputs inputs) {
    return epoch != ConfigState.NO_OFFSET
        && inputs.zone().epoch() == epoch
        && inputs.config().allotmentFence(zone).map(fence -> fence.epoch() == epoch).orElse(false);
  }

  private long seenSequence(OwnerInputs inputs) {
    return inputs
        .config()
        .allotmentFence(zone)
        .filter(fence -> fence.epoch() == epoch)
        .map(AllotmentFence::sequence)
        .orElse(0L);
  }

  private void refillTokens(long nowMillis) {
    if (refilledAtMillis > 0) {
      double added = Math.max(0, nowMillis - refilledAtMillis) * CHANGES_PER_SECOND / 1000.0;
      changeTokens = Math.min(CHANGE_BURST, changeTokens + added);
    }
    refilledAtMillis = nowMillis;
  }

  private static long roundUp(long amount, long chunk) {
    return (amount + chunk - 1) / chunk * chunk;
  }
}
