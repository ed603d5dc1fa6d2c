package org.cicadaford.cli.internal.burn;

import java.util.List;

/**
 * States how fast error budgets are used up.
 *
 * @param atMillis time of the report
 * @param firstSampleAtMillis time of the earliest sample that counts, or 0
 * @param sampleCount number of samples
 * @param objectives results by objective
 */
public record BurnReport(
    long atMillis, long firstSampleAtMillis, int sampleCount, List<ObjectiveBurn> objectives) {

  /** How urgent a burn rate is. */
  public enum Alert {
    /** The budget lasts for its period. */
    none,
    /** The budget will not last: look into it within days. */
    ticket,
    /** The budget is gone within days: act now. */
    page
  }

  /**
   * Results of one objective.
   *
   * @param rows one row for all, and one for each team and zone
   * @param history burn rate of the last hour at earlier times, for all and for the teams with the
   *     least budget left
   */
  public record ObjectiveBurn(
      String name, String meaning, double target, List<Row> rows, List<Line> history) {}

  /**
   * Results of a team in a zone.
   *
   * @param team team, or {@code *} for all
   * @param zone availability zone, or {@code *} for all
   * @param windows burn rates by window
   * @param budgetLeft part of the period's error budget that is left; negative when overspent
   * @param alert urgency
   */
  public record Row(
      String team, String zone, List<WindowBurn> windows, double budgetLeft, Alert alert) {}

  /**
   * Burn in one window.
   *
   * @param window name of the window
   * @param coveredMillis part of the window that samples cover
   * @param bad bad events
   * @param total all events
   * @param burnRate part of bad events over the part that the target allows; 1 uses up the budget
   *     exactly in its period
   */
  public record WindowBurn(
      String window, long coveredMillis, double bad, double total, double burnRate) {}

  /** Points of one line of a plot. */
  public record Line(String team, List<Point> points) {}

  /** Burn rate at one moment. */
  public record Point(long atMillis, double burnRate) {}
}
