package org.cicadaford.decision;

/** Tells the scheduler how much of a team's limit the zone may use. */
public interface TeamLimits {

  /**
   * Returns the largest amount that may be committed to the team's tasks when one starts, in
   * millicores.
   */
  long startableMillicores(OwnerInputs inputs, String team);

  /**
   * Returns the amount committed to the team beyond what a lowered limit leaves to the zone, in
   * millicores.
   */
  long excessMillicores(OwnerInputs inputs, String team);

  /** Takes in that a decision proposes placements of a team that are not recorded yet. */
  void noteProposed(OwnerInputs inputs, String team, long millicores);

  /** Returns limits that follow the recorded allotments of {@code zone} and plan no changes. */
  static TeamLimits recorded(String zone) {
    return new TeamLimits() {
      @Override
      public long startableMillicores(OwnerInputs inputs, String team) {
        return inputs.config().allotmentMillicores(team, zone);
      }

      @Override
      public long excessMillicores(OwnerInputs inputs, String team) {
        return 0;
      }

      @Override
      public void noteProposed(OwnerInputs inputs, String team, long millicores) {}
    };
  }
}
