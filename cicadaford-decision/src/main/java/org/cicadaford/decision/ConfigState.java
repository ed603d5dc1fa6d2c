package org.cicadaford.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.cicadaford.model.ConfigRecord;
import org.cicadaford.model.ConfigRecord.AllotmentFence;
import org.cicadaford.model.ConfigRecord.AllotmentReleased;
import org.cicadaford.model.ConfigRecord.AllotmentTaken;
import org.cicadaford.model.ConfigRecord.ConfigPublished;
import org.cicadaford.model.ConfigRecord.ConfigSnapshot;
import org.cicadaford.model.ConfigRecord.KeyGranted;
import org.cicadaford.model.ConfigRecord.KeyWithdrawn;
import org.cicadaford.model.ConfigRecord.ZoneBroughtIn;
import org.cicadaford.model.ConfigRecord.ZoneTakenOut;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.QueuePolicy;
import org.cicadaford.model.TeamPolicy;

/**
 * Holds the current configuration, built by applying the records of the {@code config} stream in
 * order.
 *
 * <p>Not thread-safe; readers on other threads use {@link #copy()}.
 */
public final class ConfigState {

  /** Offset before the first record of a stream. */
  public static final long NO_OFFSET = -1;

  private final Map<String, JobDescription> descriptionsByName = new TreeMap<>();
  private final Map<String, TeamPolicy> teamsByName = new TreeMap<>();
  private final Map<String, QueuePolicy> queuesByName = new TreeMap<>();
  private final Map<String, String> teamByKeyHash = new HashMap<>();
  private final Set<String> withdrawnKeyHashes = new HashSet<>();
  private final Set<String> zonesOut = new HashSet<>();
  private final Map<String, Long> zoneVersions = new HashMap<>();
  private final Map<String, Map<String, Long>> allotments = new HashMap<>();
  private final Map<String, AllotmentFence> allotmentFences = new HashMap<>();
  private long appliedOffset = NO_OFFSET;
  private long publishVersion = NO_OFFSET;
  private boolean complete;

  /**
   * Applies the record at {@code offset} and returns whether it took effect. A record at or before
   * the last applied offset is rejected, so the configuration never goes back to an older version.
   */
  public ApplyResult apply(long offset, ConfigRecord record) {
    if (offset <= appliedOffset) {
      return ApplyResult.rejected("offset " + offset + " was already applied");
    }
    complete = complete || offset == 0;
    if (!complete && !(record instanceof ConfigSnapshot)) {
      appliedOffset = offset;
      return ApplyResult.rejected("records before the first retained snapshot cannot be applied");
    }
    ApplyResult result =
        switch (record) {
          case ConfigPublished published -> publish(offset, published);
          case KeyGranted granted -> grantKey(granted);
          case KeyWithdrawn withdrawn -> withdrawKey(withdrawn);
          case ZoneTakenOut out -> setZoneTakenOut(offset, out.zone(), out.baseVersion(), true);
          case ZoneBroughtIn in -> setZoneTakenOut(offset, in.zone(), in.baseVersion(), false);
          case AllotmentTaken taken -> takeAllotment(taken);
          case AllotmentReleased released -> releaseAllotment(released);
          case ConfigSnapshot snapshot -> loadSnapshot(offset, snapshot);
        };
    appliedOffset = offset;
    return result;
  }

  private ApplyResult publish(long offset, ConfigPublished published) {
    if (published.baseVersion() != publishVersion) {
      return ApplyResult.rejected(
          "the publish is based on version "
              + published.baseVersion()
              + " but version "
              + publishVersion
              + " is in force; review its changes and publish again");
    }
    published.removedDescriptions().forEach(descriptionsByName::remove);
    published.removedTeams().forEach(teamsByName::remove);
    published.removedQueues().forEach(queuesByName::remove);
    putAll(descriptionsByName, published.descriptions(), JobDescription::name);
    putAll(teamsByName, published.teams(), TeamPolicy::name);
    putAll(queuesByName, published.queues(), QueuePolicy::name);
    publishVersion = offset;
    return ApplyResult.ACCEPTED;
  }

  private static <T> void putAll(
      Map<String, T> target, Collection<T> values, Function<T, String> name) {
    values.forEach(value -> target.put(name.apply(value), value));
  }

  private ApplyResult grantKey(KeyGranted granted) {
    if (withdrawnKeyHashes.contains(granted.keyHash())) {
      return ApplyResult.rejected("the key was withdrawn; grant a new key");
    }
    String holder = teamByKeyHash.putIfAbsent(granted.keyHash(), granted.team());
    if (holder != null && !holder.equals(granted.team())) {
      return ApplyResult.rejected("the key belongs to team " + holder + "; grant a new key");
    }
    return ApplyResult.ACCEPTED;
  }

  private ApplyResult withdrawKey(KeyWithdrawn withdrawn) {
    withdrawnKeyHashes.add(withdrawn.keyHash());
    teamByKeyHash.remove(withdrawn.keyHash());
    return ApplyResult.ACCEPTED;
  }

  private ApplyResult setZoneTakenOut(
      long offset, String zone, long baseVersion, boolean takenOut) {
    long version = zoneVersion(zone);
    if (baseVersion != version) {
      return ApplyResult.rejected(
          "zone " + zone + " was changed by another operator; check its state and try again");
    }
    if (takenOut) {
      zonesOut.add(zone);
    } else {
      zonesOut.remove(zone);
    }
    zoneVersions.put(zone, offset);
    return ApplyResult.ACCEPTED;
  }

  private ApplyResult takeAllotment(AllotmentTaken taken) {
    if (!advanceFence(taken.zone(), taken.epoch(), taken.sequence())) {
      return ApplyResult.rejected("the writer no longer owns zone " + taken.zone());
    }
    if (taken.millicores() < 0 || taken.millicores() > freeMillicores(taken.team())) {
      return ApplyResult.rejected(
          "team " + taken.team() + " does not have this much of its limit left");
    }
    addAllotment(taken.team(), taken.zone(), taken.millicores());
    return ApplyResult.ACCEPTED;
  }

  private ApplyResult releaseAllotment(AllotmentReleased released) {
    if (!advanceFence(released.zone(), released.epoch(), released.sequence())) {
      return ApplyResult.rejected("the writer no longer owns zone " + released.zone());
    }
    long held = allotmentMillicores(released.team(), released.zone());
    if (released.millicores() < 0 || released.millicores() > held) {
      return ApplyResult.rejected(
          "zone " + released.zone() + " holds only " + held + " millicores");
    }
    addAllotment(released.team(), released.zone(), -released.millicores());
    return ApplyResult.ACCEPTED;
  }

  private boolean advanceFence(String zone, long epoch, long sequence) {
    AllotmentFence fence = allotmentFences.get(zone);
    boolean newer =
        fence == null
            || epoch > fence.epoch()
            || epoch == fence.epoch() && sequence > fence.sequence();
    if (newer) {
      allotmentFences.put(zone, new AllotmentFence(epoch, sequence));
    }
    return newer;
  }

  private void addAllotment(String team, String zone, long millicores) {
    if (millicores != 0) {
      allotments.computeIfAbsent(team, name -> new HashMap<>()).merge(zone, millicores, Long::sum);
    }
  }

  private ApplyResult loadSnapshot(long offset, ConfigSnapshot snapshot) {
    if (snapshot.asOfOffset() != offset - 1) {
      return ApplyResult.rejected(
          "another record was appended before the snapshot; write a new snapshot");
    }
    if (!complete) {
      restore(snapshot);
    }
    return ApplyResult.ACCEPTED;
  }

  /** Replaces this configuration with a peer's if that is newer, and returns whether it did. */
  public boolean loadFromPeer(ConfigSnapshot snapshot) {
    if (snapshot.asOfOffset() <= appliedOffset) {
      return false;
    }
    restore(snapshot);
    appliedOffset = snapshot.asOfOffset();
    return true;
  }

  private void restore(ConfigSnapshot snapshot) {
    descriptionsByName.clear();
    teamsByName.clear();
    queuesByName.clear();
    putAll(descriptionsByName, snapshot.descriptions(), JobDescription::name);
    putAll(teamsByName, snapshot.teams(), TeamPolicy::name);
    putAll(queuesByName, snapshot.queues(), QueuePolicy::name);
    replace(teamByKeyHash, snapshot.teamByKeyHash());
    withdrawnKeyHashes.clear();
    withdrawnKeyHashes.addAll(snapshot.withdrawnKeyHashes());
    zonesOut.clear();
    zonesOut.addAll(snapshot.zonesOut());
    replace(zoneVersions, snapshot.zoneVersions());
    allotments.clear();
    snapshot.allotments().forEach((team, byZone) -> allotments.put(team, new HashMap<>(byZone)));
    replace(allotmentFences, snapshot.allotmentFences());
    publishVersion = snapshot.publishVersion();
    complete = true;
  }

  private static <K, V> void replace(Map<K, V> target, Map<K, V> content) {
    target.clear();
    target.putAll(content);
  }

  /**
   * Returns the whole configuration as a snapshot record, so that earlier records can expire from
   * the log.
   *
   * @throws IllegalStateException if the configuration is not complete; a partial snapshot would
   *     make readers that load it lose the rest
   */
  public ConfigSnapshot snapshot(String recordId) {
    if (!complete) {
      throw new IllegalStateException(
          "the configuration is not complete; wait for a snapshot from the log or a peer");
    }
    return content(recordId);
  }

  private ConfigSnapshot content(String recordId) {
    Map<String, Map<String, Long>> allotmentCopy = new TreeMap<>();
    allotments.forEach((team, byZone) -> allotmentCopy.put(team, new TreeMap<>(byZone)));
    return new ConfigSnapshot(
        recordId,
        appliedOffset,
        publishVersion,
        List.copyOf(descriptionsByName.values()),
        List.copyOf(teamsByName.values()),
        List.copyOf(queuesByName.values()),
        new TreeMap<>(teamByKeyHash),
        withdrawnKeyHashes.stream().sorted().toList(),
        zonesOut.stream().sorted().toList(),
        new TreeMap<>(zoneVersions),
        allotmentCopy,
        new TreeMap<>(allotmentFences));
  }

  /** Returns a copy that later records do not change. */
  public ConfigState copy() {
    ConfigState copy = new ConfigState();
    copy.restore(content("copy"));
    copy.appliedOffset = appliedOffset;
    copy.complete = complete;
    return copy;
  }

  /** Returns the offset of the last record applied, or {@link #NO_OFFSET}. */
  public long version() {
    return appliedOffset;
  }

  /** Returns whether every record since the first one or since a snapshot was applied. */
  public boolean isComplete() {
    return complete;
  }

  /** Returns the offset of the last accepted publish, or {@link #NO_OFFSET}. */
  public long publishVersion() {
    return publishVersion;
  }

  /** Returns the offset of the last change of {@code zone}, or {@link #NO_OFFSET}. */
  public long zoneVersion(String zone) {
    return zoneVersions.getOrDefault(zone, NO_OFFSET);
  }

  /** Returns whether operators have taken {@code zone} out. */
  public boolean isZoneTakenOut(String zone) {
    return zonesOut.contains(zone);
  }

  /** Returns the team that owns the key with this SHA-256 hash. */
  public Optional<String> teamOfKeyHash(String keyHash) {
    return Optional.ofNullable(teamByKeyHash.get(keyHash));
  }

  /** Returns the published description of this name. */
  public Optional<JobDescription> description(String name) {
    return Optional.ofNullable(descriptionsByName.get(name));
  }

  /** Returns all published descriptions. */
  public Collection<JobDescription> descriptions() {
    return Collections.unmodifiableCollection(descriptionsByName.values());
  }

  /** Returns the team of this name. */
  public Optional<TeamPolicy> team(String name) {
    return Optional.ofNullable(teamsByName.get(name));
  }

  /** Returns all teams. */
  public Collection<TeamPolicy> teams() {
    return Collections.unmodifiableCollection(teamsByName.values());
  }

  /** Returns the queue of this name. */
  public Optional<QueuePolicy> queue(String name) {
    return Optional.ofNullable(queuesByName.get(name));
  }

  /** Returns all queues. */
  public Collection<QueuePolicy> queues() {
    return Collections.unmodifiableCollection(queuesByName.values());
  }

  /** Returns the allotment of the team's limit that {@code zone} holds, in millicores. */
  public long allotmentMillicores(String team, String zone) {
    return allotments.getOrDefault(team, Map.of()).getOrDefault(zone, 0L);
  }

  /**
   * Returns the epoch and sequence of the newest change of the zone's allotments; older ones are
   * rejected.
   */
  public Optional<AllotmentFence> allotmentFence(String zone) {
    return Optional.ofNullable(allotmentFences.get(zone));
  }

  /** Returns the number of zones whose owners have written allotments. */
  public int allotmentZoneCount() {
    return allotmentFences.size();
  }

  /**
   * Returns how much of the team's limit no zone holds, in millicores; negative if the limit was
   * reduced below the sum of the allotments.
   */
  public long freeMillicores(String team) {
    TeamPolicy policy = teamsByName.get(team);
    long limitMillicores = policy == null ? 0 : policy.limitMillicores();
    return limitMillicores - sum(new ArrayList<>(allotments.getOrDefault(team, Map.of()).values()));
  }

  private static long sum(List<Long> values) {
    return values.stream().mapToLong(Long::longValue).sum();
  }
}
