package org.cicadaford.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.cicadaford.model.Resources;

/**
 * Decides whether a team may run more work of a queue.
 *
 * <p>The load that it answers is a team whose long batch jobs fill its limit, so that its urgent
 * jobs of under a second wait for a batch task to end. Beyond half of a team's limit, work of less
 * urgent queues leaves the room that the team's more urgent queues have used lately.
 */
final class TeamLimits {

  /** Time in which a peak of usage that was not reached again counts half, in milliseconds. */
  private static final double HALF_LIFE_MILLIS = 4_000;

  /** Largest use of one priority by a team lately; it fades with time. */
  private static final class Peak {
    private Resources used = Resources.NONE;
    private Resources peak = Resources.NONE;
    private long peakAtMillis;

    private void add(Resources more, long nowMillis) {
      Resources faded = at(nowMillis);
      used = used.plus(more);
      peak = largest(faded, used);
      peakAtMillis = nowMillis;
    }

    private Resources at(long nowMillis) {
      double factor = Math.pow(0.5, (nowMillis - peakAtMillis) / HALF_LIFE_MILLIS);
      return largest(used, scaled(peak, factor));
    }

    /** Returns what the peak exceeds the present use by. */
    private Resources unusedAt(long nowMillis) {
      return at(nowMillis).minus(used);
    }
  }

  private final Map<String, Resources> usageByTeam = new HashMap<>();
  private final Map<String, TreeMap<Integer, Peak>> peaksByTeam = new HashMap<>();

  /** Notes that a team uses more for a queue of a priority. */
  void add(String team, int priority, Resources more, long nowMillis) {
    usageByTeam.merge(team, more, Resources::plus);
    peak(team, priority).add(more, nowMillis);
  }

  /** Notes that a team uses less for a queue of a priority. */
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

  /** Returns what a team uses. */
  Resources usageOf(String team) {
    return usageByTeam.getOrDefault(team, Resources.NONE);
  }

  /** Returns whether a team may use {@code more} for a queue of a priority. */
  boolean allows(TeamShare share, int priority, Resources more, long nowMillis) {
    Resources used = usageOf(share.name());
    Resources after = used.plus(more);
    boolean underHalf = share.allows(used.plus(used));
    return share.allows(after)
        && (underHalf || share.allows(after.plus(headroom(share.name(), priority, nowMillis))));
  }

  /** Returns the room that queues more urgent than a priority have used lately and do not now. */
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
