package org.cicadaford.cell.shares;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.cicadaford.model.Resources;

/**
 * Decides whether a service is short of capacity and which teams exceed their share of it.
 *
 * <p>What is in use while work waits is taken as the capacity to divide, because fragments of
 * workers stay free that no waiting task fits into. Both decisions have a hysteresis, so that the
 * order of the teams does not change with each run that ends. A team whose whole demand is within
 * its share never exceeds it.
 */
public final class ServiceShares {

  /**
   * Time for which work waits for capacity before the service counts as short, in milliseconds; a
   * third of the shortest target latency of the queues, 300 ms. Shorter waits end with a run.
   */
  static final long BEGIN_MILLIS = 100;

  /** Time without such a wait after which the service is no longer short, in milliseconds. */
  static final long END_MILLIS = 1_000;

  /**
   * Utilization below which work waits for another reason than a shortage, for example a label. A
   * service whose tasks need just over half a worker each is full at this utilization.
   */
  static final double MIN_UTILIZATION = 0.5;

  /** Fraction of its share below which a team that waits for more no longer exceeds it. */
  static final double RETURN_FRACTION = 0.9;

  /** Tolerance of the comparison with a share, for rounding errors. */
  private static final double TOLERANCE = 1e-6;

  private final Set<String> beyond = new HashSet<>();
  private OptionalLong waitsSinceMillis = OptionalLong.empty();
  private OptionalLong shortSinceMillis = OptionalLong.empty();
  private long lastWaitMillis;

  /** Returns whether the service is short of capacity. */
  public boolean isShort() {
    return shortSinceMillis.isPresent();
  }

  /** Returns whether work has waited for capacity too recently for the state to be reset. */
  public boolean active() {
    return isShort() || waitsSinceMillis.isPresent();
  }

  /** Returns whether the service is short and a team exceeds its share. */
  public boolean exceedsShare(String team) {
    return beyond.contains(team);
  }

  /** Returns the teams that exceed their share. */
  public Set<String> teamsBeyondShare() {
    return Set.copyOf(beyond);
  }

  /**
   * Updates the state and returns what has changed.
   *
   * @param waits whether work within the limit of its team waits for capacity
   * @param demands usage and waiting work by team; contains the teams that exceeded their share
   * @param capacity capacity of the schedulable workers of the service
   */
  public List<ShareChange> update(
      boolean waits, List<TeamDemand> demands, Resources capacity, long nowMillis) {
    Resources used = demands.stream().map(TeamDemand::used).reduce(Resources.NONE, Resources::plus);
    double utilization = used.dominantShareOf(capacity);
    List<ShareChange> changes = new ArrayList<>();
    updateShortage(
        waits && utilization >= MIN_UTILIZATION, utilization, demands.size(), nowMillis, changes);
    if (isShort()) {
      updateTeams(demands, capacity, utilization, changes);
    }
    return changes;
  }

  private void updateShortage(
      boolean waits, double utilization, int teams, long nowMillis, List<ShareChange> changes) {
    if (waits) {
      lastWaitMillis = nowMillis;
      waitsSinceMillis = OptionalLong.of(waitsSinceMillis.orElse(nowMillis));
      if (!isShort() && nowMillis - waitsSinceMillis.getAsLong() >= BEGIN_MILLIS) {
        shortSinceMillis = OptionalLong.of(nowMillis);
        changes.add(new ShareChange.ShortageBegan(utilization, teams));
      }
      return;
    }
    waitsSinceMillis = OptionalLong.empty();
    if (isShort() && nowMillis - lastWaitMillis >= END_MILLIS) {
      changes.add(new ShareChange.ShortageEnded(nowMillis - shortSinceMillis.getAsLong()));
      shortSinceMillis = OptionalLong.empty();
      beyond.clear();
    }
  }

  private void updateTeams(
      List<TeamDemand> demands, Resources capacity, double utilization, List<ShareChange> changes) {
    Resources divisible = scaled(capacity, utilization);
    Map<String, Double> entitlements = FairShares.entitlements(demands, divisible);
    for (TeamDemand demand : demands) {
      double held = demand.used().dominantShareOf(divisible);
      double wanted = demand.total().dominantShareOf(divisible);
      double entitled = entitlements.get(demand.team());
      boolean before = beyond.contains(demand.team());
      boolean satisfied = wanted <= entitled + TOLERANCE;
      boolean after =
          before ? !satisfied && held >= RETURN_FRACTION * entitled : held > entitled + TOLERANCE;
      if (after != before) {
        setBeyond(demand.team(), after);
        changes.add(
            new ShareChange.Standing(
                demand.team(), after, held, entitled, demand.effectiveWeight()));
      }
    }
  }

  private void setBeyond(String team, boolean exceeds) {
    if (exceeds) {
      beyond.add(team);
    } else {
      beyond.remove(team);
    }
  }

  private static Resources scaled(Resources amounts, double factor) {
    return new Resources(
        (long) Math.ceil(amounts.processorsMillicores() * factor),
        (long) Math.ceil(amounts.memoryMebibytes() * factor),
        (int) Math.ceil(amounts.acceleratorCount() * factor));
  }
}
