package org.cicadaford.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.cicadaford.model.Resources;

/**
 * Tracks the resource usage of teams and decides whether a team may run more tasks of a queue.
 *
 * <p>Designed for teams whose long batch jobs use their whole limit, so that their urgent jobs of
 * under a second wait for a batch task to end. Beyond half of the limit, less urgent queues leave
 * free what more urgent queues of the team used recently.
 */
final class TeamUsageTracker {

  /** Half-life of a usage peak, in milliseconds. */
  private static final double HALF_LIFE_MILLIS = 4_000;

  /** Decaying peak of the usage of a team at one priority. */
  private static final class Peak {
    private Resources used = Resources.NONE;
    private Resources peak = Resources.NONE;
    private long peakAtMillis;

    private void add(Resources more, long nowMillis) {
      Resources decayed = valueAt(nowMillis);
      used = used.plus(more);
      peak = largest(decayed, used);
      peakAtMillis = nowMillis;
    }

    private Resources valueAt(long nowMillis) {
      double factor = Math.pow(0.5, (nowMillis - peakAtMillis) / HALF_LIFE_MILLIS);
      return largest(used, scaled(peak, factor));
    }

    /** Returns the amount by which the peak exceeds the current usage. */
    private Resources unusedAt(long nowMillis) {
      return valueAt(nowMillis).minus(used);
    }
  }

  private final Map<String, Resources> usageByTeam = new HashMap<>();
  private final Map<String, TreeMap<Integer, Peak>> peaksByTeam = new HashMap<>();

  /** Adds to the usage of a team at a priority. */
  void add(String team, int priority, Resources more, long nowMillis) {
    usageByTeam.merge(team, more, Resources::plus);
    peak(team, priority).add(more, nowMillis);
  }

  /** Subtracts from the usage of a team at a priority. */
  void remove(String team, int priority, Resources less) {
    usageByTeam.computeIfPresent(team, (key, used) -> used.minus(less));
    Peak peak = peak(team, priority);
    peak.used = peak.used.minus(less);
  }

  private Peak peak(String team, int priority) {
    return peaksByTeam
        .computeIfAbsent(team, key -> new TreeMap<>())
        .computeIfAbsent(priority, key -> new Peak());
  }

  /** Returns the current usage of a team. */
  Resources usageOf(String team) {
    return usageByTeam.getOrDefault(team, Resources.NONE);
  }

  /** Returns the current usage of a team at a priority and at all more urgent ones. */
  Resources usageUpTo(String team, int priority) {
    Resources used = Resources.NONE;
    TreeMap<Integer, Peak> peaks = peaksByTeam.get(team);
    if (peaks != null) {
      for (Peak peak : peaks.headMap(priority, true).values()) {
        used = used.plus(peak.used);
      }
    }
    return used;
  }

  /** Returns the least urgent priority at which a team uses anything, or 0. */
  int leastUrgentPriority(String team) {
    TreeMap<Integer, Peak> peaks = peaksByTeam.getOrDefault(team, new TreeMap<>());
    return peaks.descendingMap().entrySet().stream()
        .filter(entry -> !entry.getValue().used.equals(Resources.NONE))
        .mapToInt(Map.Entry::getKey)
        .findFirst()
        .orElse(0);
  }

  /**
   * Returns whether a team may use {@code more} at a priority.
   *
   * @param reserved amount to leave to waiting steps of more urgent queues
   */
  boolean allows(
      TeamShare share, int priority, Resources more, Resources reserved, long nowMillis) {
    Resources used = usageOf(share.name());
    Resources after = used.plus(more);
    if (!share.allows(after.plus(reserved))) {
      return false;
    }
    boolean underHalf = share.allows(used.plus(used));
    // Waiting steps are a part of the expected usage, so the larger of both amounts is left free.
    Resources headroom = largest(headroom(share.name(), priority, nowMillis), reserved);
    return underHalf || share.allows(after.plus(headroom));
  }

  /** Returns the recent usage of more urgent queues that is currently free. */
  private Resources headroom(String team, int priority, long nowMillis) {
    Resources headroom = Resources.NONE;
    TreeMap<Integer, Peak> peaks = peaksByTeam.get(team);
    if (peaks != null) {
      for (Peak peak : peaks.headMap(priority).values()) {
        headroom = headroom.plus(peak.unusedAt(nowMillis));
      }
    }
    return headroom;
  }

  private static Resources scaled(Resources amounts, double factor) {
    return new Resources(
        (long) (amounts.processorsMillicores() * factor),
        (long) (amounts.memoryMebibytes() * factor),
        (int) (amounts.acceleratorCount() * factor));
  }

  private static Resources largest(Resources one, Resources other) {
    return new Resources(
        Math.max(one.processorsMillicores(), other.processorsMillicores()),
        Math.max(one.memoryMebibytes(), other.memoryMebibytes()),
        Math.max(one.acceleratorCount(), other.acceleratorCount()));
  }
}
