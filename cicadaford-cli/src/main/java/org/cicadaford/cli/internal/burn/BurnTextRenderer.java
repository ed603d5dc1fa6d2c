package org.cicadaford.cli.internal.burn;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.cicadaford.cli.internal.burn.BurnReport.ObjectiveBurn;
import org.cicadaford.cli.internal.burn.BurnReport.Row;
import org.cicadaford.cli.internal.burn.BurnReport.WindowBurn;

/** Renders a burn report as lines of text. */
public final class BurnTextRenderer {

  private BurnTextRenderer() {}

  /** Returns the lines of the report. */
  public static List<String> render(BurnReport report) {
    List<String> lines = new ArrayList<>();
    lines.add(
        "Burn rates at "
            + Instant.ofEpochMilli(report.atMillis())
            + " from "
            + report.sampleCount()
            + " samples"
            + (report.sampleCount() == 0
                ? ""
                : " since " + Instant.ofEpochMilli(report.firstSampleAtMillis()))
            + ". 1.0 exhausts the budget in 30 days.");
    for (ObjectiveBurn objective : report.objectives()) {
      lines.add("");
      lines.add(
          String.format(
              Locale.ROOT,
              "%s: %s (target %s%%)",
              objective.name(),
              objective.meaning(),
              percent(objective.target())));
      lines.add(
          String.format(
              Locale.ROOT,
              "  %-16s %-18s %9s %9s %9s %9s %9s  %s",
              "team",
              "zone",
              "5min",
              "1h",
              "6h",
              "3d",
              "budget",
              "alert"));
      objective.rows().forEach(row -> lines.add(formatRow(row)));
    }
    return lines;
  }

  private static String formatRow(Row row) {
    StringBuilder line =
        new StringBuilder(String.format(Locale.ROOT, "  %-16s %-18s", row.team(), row.zone()));
    for (WindowBurn window : row.windows()) {
      line.append(String.format(Locale.ROOT, " %9s", rate(window)));
    }
    line.append(String.format(Locale.ROOT, " %8.1f%%  %s", row.budgetLeft() * 100, row.alert()));
    return line.toString();
  }

  static String rate(WindowBurn window) {
    return window.total() == 0 ? "-" : String.format(Locale.ROOT, "%.2f", window.burnRate());
  }

  static String percent(double fraction) {
    String text = String.format(Locale.ROOT, "%.4f", fraction * 100);
    return text.replaceAll("0+$", "").replaceAll("\\.$", "");
  }
}
