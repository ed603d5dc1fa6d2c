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

  /** Returns whether a team may use {@code more} at a priority. */
  boolean allows(TeamShare share, int priority, Resources more, long nowMillis) {
    Resources used = usageOf(share.name());
    Resources after = used.plus(more);
    boolean underHalf = share.allows(used.plus(used));
    return share.allows(after)
        && (underHalf || share.allows(after.plus(headroom(share.name(), priority, nowMillis))));
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
