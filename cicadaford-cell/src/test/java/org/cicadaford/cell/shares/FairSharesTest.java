package org.cicadaford.cell.shares;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.cicadaford.model.Resources;

/** Tests the division of a capacity among teams. */
class FairSharesTest {

  private static final Resources CAPACITY = new Resources(100_000, 400_000, 8);
  private static final double ROUNDING = 1e-6;

  private static List<TeamDemand> draw(Random random) {
    List<TeamDemand> demands = new ArrayList<>();
    int teams = 1 + random.nextInt(12);
    for (int team = 0; team < teams; team++) {
      Resources waiting =
          new Resources(
              random.nextInt(3) == 0 ? 0 : random.nextInt(60_000),
              random.nextInt(3) == 0 ? 0 : random.nextInt(200_000),
              random.nextInt(3));
      demands.add(
          new TeamDemand("t" + team, 0.1 + 5 * random.nextDouble(), Resources.NONE, waiting));
    }
    return demands;
  }

  private static double[] fractions(TeamDemand demand) {
    Resources total = demand.total();
    return new double[] {
      (double) total.processorsMillicores() / CAPACITY.processorsMillicores(),
      (double) total.memoryMebibytes() / CAPACITY.memoryMebibytes(),
      (double) total.acceleratorCount() / CAPACITY.acceleratorCount()
    };
  }

  /**
   * Guards against shares that exceed the capacity, that leave capacity unused while a team wants
   * it, or that favour a team over another one with a lower share for its weight.
   */
  @Property(tries = 500, seed = "3901")
  void sharesAreWeightedMaxMin(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    List<TeamDemand> demands = draw(new Random(seed));
    Map<String, Double> shares = FairShares.entitlements(demands, CAPACITY);
    double[] divided = new double[3];
    for (TeamDemand demand : demands) {
      double wanted = demand.total().dominantShareOf(CAPACITY);
      double share = shares.get(demand.team());
      assertThat(share).isBetween(0.0, wanted + ROUNDING);
      for (int resource = 0; resource < 3 && wanted > 0; resource++) {
        divided[resource] += fractions(demand)[resource] * share / wanted;
      }
    }
    for (double part : divided) {
      assertThat(part).isLessThanOrEqualTo(1 + ROUNDING);
    }
    for (TeamDemand demand : demands) {
      double share = shares.get(demand.team());
      if (share < demand.total().dominantShareOf(CAPACITY) - ROUNDING) {
        assertThat(hasBottleneck(demand, demands, shares, divided)).as("seed " + seed).isTrue();
      }
    }
  }

  /**
   * Returns whether a team lacks an exhausted resource that no other team has more of by weight.
   */
  private static boolean hasBottleneck(
      TeamDemand demand, List<TeamDemand> all, Map<String, Double> shares, double[] divided) {
    double level = shares.get(demand.team()) / demand.weight();
    for (int resource = 0; resource < 3; resource++) {
      int index = resource;
      boolean exhausted = fractions(demand)[index] > 0 && divided[index] >= 1 - ROUNDING;
      if (exhausted
          && all.stream()
              .filter(other -> fractions(other)[index] > 0)
              .allMatch(other -> shares.get(other.team()) / other.weight() <= level + ROUNDING)) {
        return true;
      }
    }
    return false;
  }

  /** Guards against weights that stop the computation or give a team nothing. */
  @Example
  void invalidWeightsCountAsTheDefault() {
    Resources wanted = new Resources(100_000, 0, 0);
    List<TeamDemand> demands = new ArrayList<>();
    double[] weights = {0, -3, Double.NaN, Double.POSITIVE_INFINITY, 1};
    for (double weight : weights) {
      demands.add(new TeamDemand("t" + weight, weight, Resources.NONE, wanted));
    }
    assertThat(FairShares.entitlements(demands, CAPACITY).values())
        .hasSize(5)
        .allSatisfy(share -> assertThat(share).isCloseTo(0.2, within(ROUNDING)));
  }
}
