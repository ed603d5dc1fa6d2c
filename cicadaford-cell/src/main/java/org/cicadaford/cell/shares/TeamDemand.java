package org.cicadaford.cell.shares;

import org.cicadaford.model.Resources;

/**
 * What a team uses of a service and what it waits for.
 *
 * @param team name of the team
 * @param weight configured weight of the team; see {@link #effectiveWeight}
 * @param used resources of the service that its tasks reserve
 * @param waiting resources that its waiting tasks would reserve, within the limit of the team
 */
public record TeamDemand(String team, double weight, Resources used, Resources waiting) {

  /** Weight of a team whose configured weight is missing, 0, negative or not finite. */
  public static final double DEFAULT_WEIGHT = 1;

  /** Returns the weight, or {@link #DEFAULT_WEIGHT} if the configured one cannot be used. */
  public double effectiveWeight() {
    return weight > 0 && Double.isFinite(weight) ? weight : DEFAULT_WEIGHT;
  }

  Resources total() {
    return used.plus(waiting);
  }
}
