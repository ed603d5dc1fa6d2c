package org.cicadaford.decision;

/** Provides how much of each team's limit the zone may use. */
public interface TeamLimits {

  /**
   * Returns the maximum that may be committed to the team's tasks after another one starts, in
   * millicores.
   */
  long startableMillicores(OwnerInputs inputs, String team);

  /**
   * Returns how much the team's committed amount exceeds the zone's share of a reduced limit, in
   * millicores.
   */
  long excessMillicores(OwnerInputs inputs, String team);

  /** Records that a decision proposes placements of a team that are not in the zone's state yet. */
  void onPlacementsProposed(OwnerInputs inputs, String team, long millicores);

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
      public void onPlacementsProposed(OwnerInputs inputs, String team, long millicores) {}
    };
  }
}
