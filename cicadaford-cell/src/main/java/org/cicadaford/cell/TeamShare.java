package org.cicadaford.cell;

import java.util.Set;
import org.cicadaford.model.Resources;

/**
 * A team with its keys, share and limit.
 *
 * @param name name of the team
 * @param keys keys that authenticate callers of the team
 * @param weight share when the cell is full; also the guaranteed rate in jobs per second
 * @param limit maximum resources in use by the team; 0 means no limit
 */
public record TeamShare(String name, Set<String> keys, double weight, Resources limit) {

  /** Returns whether {@code amounts} are within the limit. */
  public boolean allows(Resources amounts) {
    return within(amounts.processorsMillicores(), limit.processorsMillicores())
        && within(amounts.memoryMebibytes(), limit.memoryMebibytes())
        && within(amounts.acceleratorCount(), limit.acceleratorCount());
  }

  private static boolean within(long amount, long bound) {
    return bound <= 0 || amount <= bound;
  }
}
