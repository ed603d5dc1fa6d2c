package org.cicadaford.cli.internal.burn;

import java.util.List;

/**
 * Holds the burn rates of error budgets.
 *
 * @param atMillis time of the report
 * @param firstSampleAtMillis time of the earliest sample, or 0
 * @param sampleCount number of samples
 * @param objectives results by objective
 */
public record BurnReport(
    long atMillis, long firstSampleAtMillis, int sampleCount, List<ObjectiveBurn> objectives) {

  /** Defines how urgent a burn rate is. */
  public enum Alert {
    /** The budget is sufficient for its period. */
    none,
    /** The budget will be exhausted early: investigate within days. */
    ticket,
    /** The budget will be exhausted within days: act now. */
    page
  }

  /**
   * Holds the results of an objective.
   *
   * @param rows one row for all, and one for each team and zone
   * @param history burn rate of the last hour at earlier times, for all and for the teams with the
   *     least budget left
   */
  public record ObjectiveBurn(
      String name, String meaning, double target, List<Row> rows, List<Line> history) {}

  /**
   * Holds the results of a team in a zone.
   *
   * @param team team, or {@code *} for all
   * @param zone availability zone, or {@code *} for all
   * @param windows burn rates by window
   * @param budgetLeft remaining fraction of the period's error budget; negative when exceeded
   * @param alert urgency
   */
  public record Row(
      String team, String zone, List<WindowBurn> windows, double budgetLeft, Alert alert) {}

  /**
   * Holds the burn rate in a window.
   *
   * @param window name of the window
   * @param coveredMillis part of the window that samples cover
   * @param bad bad events
   * @param total all events
   * @param burnRate fraction of bad events divided by the fraction that the target allows; 1
   *     exhausts the budget exactly at the end of its period
   */
  public record WindowBurn(
      String window, long coveredMillis, double bad, double total, double burnRate) {}

  /** Holds the points of a line in a plot. */
  public record Line(String team, List<Point> points) {}

  /** Holds the burn rate at one time. */
  public record Point(long atMillis, double burnRate) {}
}
