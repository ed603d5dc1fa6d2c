package org.cicadaford.cli.internal.burn;

import java.time.Instant;
import org.cicadaford.cli.internal.burn.BurnReport.ObjectiveBurn;
import org.cicadaford.cli.internal.burn.BurnReport.Row;
import org.cicadaford.cli.internal.burn.BurnReport.WindowBurn;

/** Renders a burn report as a self-contained HTML page. */
public final class BurnHtmlRenderer {

  private static final String HEAD =
      """
      <!DOCTYPE html>
      <html lang="en">
      <head>
      <meta charset="utf-8">
      <meta http-equiv="Content-Security-Policy" content="default-src 'none'; style-src 'unsafe-inline'">
      <title>Cicadaford burn rates</title>
      <style>
      body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 60rem; color: #1b1f24; }
      table { border-collapse: collapse; width: 100%; margin: 1rem 0; }
      th, td { padding: .3rem .6rem; border-bottom: 1px solid #d0d7de; text-align: right; }
      th:nth-child(-n+2), td:nth-child(-n+2) { text-align: left; }
      tr.page { background: #ffd8d3; }
      tr.ticket { background: #fff3c4; }
      p.note { color: #57606a; }
      svg text { font: 11px system-ui, sans-serif; fill: #57606a; }
      </style>
      </head>
      <body>
      """;

  private BurnHtmlRenderer() {}

  /** Returns the HTML page. */
  public static String render(BurnReport report) {
    StringBuilder page = new StringBuilder(HEAD);
    page.append("<h1>Burn rates of error budgets</h1>\n<p class=\"note\">");
    page.append(Instant.ofEpochMilli(report.atMillis()));
    page.append(", ").append(report.sampleCount()).append(" samples");
    if (report.sampleCount() > 0) {
      page.append(" since ").append(Instant.ofEpochMilli(report.firstSampleAtMillis()));
    }
    page.append(". A burn rate of 1 exhausts the budget in exactly 30 days; * means all.");
    page.append(" A dash means a window without events.</p>\n");
    report.objectives().forEach(objective -> append(page, objective));
    return page.append("</body>\n</html>\n").toString();
  }

  private static void append(StringBuilder page, ObjectiveBurn objective) {
    page.append("<h2>").append(escape(objective.name())).append("</h2>\n<p>");
    page.append(escape(objective.meaning()));
    page.append(" (target ").append(BurnTextRenderer.percent(objective.target()));
    page.append("%)</p>\n").append(BurnPlotRenderer.render(objective));
    page.append("<table>\n<tr><th>team</th><th>zone</th>");
    BurnWindow.ALL.forEach(w -> page.append("<th>").append(w.name()).append("</th>"));
    page.append("<th>events in 3d</th><th>budget left</th><th>alert</th></tr>\n");
    objective.rows().forEach(row -> append(page, row));
    page.append("</table>\n");
  }

  private static void append(StringBuilder page, Row row) {
    page.append("<tr class=\"").append(row.alert()).append("\">");
    appendCell(page, row.team());
    appendCell(page, row.zone());
    row.windows().forEach(window -> appendCell(page, BurnTextRenderer.rate(window)));
    WindowBurn longest = row.windows().getLast();
    appendCell(page, Math.round(longest.bad()) + " bad of " + Math.round(longest.total()));
    appendCell(page, Math.round(row.budgetLeft() * 1000) / 10.0 + "%");
    appendCell(page, row.alert().name());
    page.append("</tr>\n");
  }

  private static void appendCell(StringBuilder page, String text) {
    page.append("<td>").append(escape(text)).append("</td>");
  }

  static String escape(String text) {
    return text.replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;");
  }
}
