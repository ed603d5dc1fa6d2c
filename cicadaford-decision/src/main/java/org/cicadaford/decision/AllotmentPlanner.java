package org.cicadaford.decision;

import java.util.List;
import org.cicadaford.decision.OwnerDecision.AllotmentChange;

/** Plans which part of each team's limit the zone holds. */
final class AllotmentPlanner {

  private final String zone;

  AllotmentPlanner(String zone) {
    this.zone = zone;
  }

  List<AllotmentChange> decide(OwnerInputs inputs, long nowMillis) {
    return List.of();
  }

  @Override
  public String toString() {
    return "allotments of zone " + zone;
  }
}
