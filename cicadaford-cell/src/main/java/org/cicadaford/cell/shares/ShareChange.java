package org.cicadaford.cell.shares;

/** A change of the shortage of a service, or of a team's standing in it. */
public sealed interface ShareChange {

  /**
   * The service became short.
   *
   * @param utilization fraction of its scarcest resource in use
   * @param teams number of teams that use it or wait for it
   */
  record ShortageBegan(double utilization, int teams) implements ShareChange {}

  /** The service is no longer short. */
  record ShortageEnded(long durationMillis) implements ShareChange {}

  /**
   * A team exceeds its share from now on, or no longer does.
   *
   * @param beyond whether it exceeds its share
   * @param held dominant share that it holds
   * @param entitled dominant share that it is entitled to
   * @param weight weight that the share was computed with
   */
  record Standing(String team, boolean beyond, double held, double entitled, double weight)
      implements ShareChange {}
}
