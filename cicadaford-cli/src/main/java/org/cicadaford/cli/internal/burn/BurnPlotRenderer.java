package org.cicadaford.cli.internal.burn;

import java.time.Instant;
import java.util.List;
import java.util.Locale;
import org.cicadaford.cli.internal.burn.BurnReport.Line;
import org.cicadaford.cli.internal.burn.BurnReport.ObjectiveBurn;
import org.cicadaford.cli.internal.burn.BurnReport.Point;

/** Renders the one-hour burn rate over time as SVG. */
final class BurnPlotRenderer {

  private static final int WIDTH = 900;
  private static final int HEIGHT = 240;
  private static final int LEFT = 50;
  private static final int RIGHT = 170;
  private static final int TOP = 12;
  private static final int BOTTOM = 28;

  /** Colours that remain distinct for readers with colour vision deficiency (Okabe and Ito). */
  private static final List<String> COLOURS =
      List.of(
          "#000000", "#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9", "#999999");

  private final long fromMillis;
  private final long toMillis;
  private final double maximum;

  private BurnPlotRenderer(List<Point> points) {
    fromMillis = points.stream().mapToLong(Point::atMillis).min().orElse(0);
    toMillis = points.stream().mapToLong(Point::atMillis).max().orElse(0);
    double highest = points.stream().mapToDouble(Point::burnRate).max().orElse(0);
    maximum = Math.max(2, highest * 1.1);
  }

  static String render(ObjectiveBurn objective) {
    List<Point> points = objective.history().stream().flatMap(l -> l.points().stream()).toList();
    BurnPlotRenderer renderer = new BurnPlotRenderer(points);
    if (renderer.toMillis <= renderer.fromMillis) {
      return "<p class=\"note\">The plot needs samples from at least two times.</p>\n";
    }
    return renderer.draw(objective);
  }

  private String draw(ObjectiveBurn objective) {
    StringBuilder svg = new StringBuilder();
    svg.append(
        format(
            "<svg viewBox=\"0 0 %d %d\" role=\"img\" aria-label=\"Burn rate of the last hour of %s\">",
            WIDTH, HEIGHT, BurnHtmlRenderer.escape(objective.name())));
    svg.append('\n');
    appendHorizontalLine(svg, 0, "#8c959f", "");
    appendHorizontalLine(svg, BurnCalculator.TICKET_RATE, "#bf8700", "4 3");
    appendHorizontalLine(svg, BurnCalculator.PAGE_RATE, "#cf222e", "4 3");
    appendHorizontalLine(svg, maximum, "#d0d7de", "");
    appendTimeLabel(svg, fromMillis, "start");
    appendTimeLabel(svg, toMillis, "end");
    for (int i = 0; i < objective.history().size(); i++) {
      appendLine(svg, objective.history().get(i), i);
    }
    return svg.append("</svg>\n").toString();
  }

  private void appendHorizontalLine(StringBuilder svg, double level, String colour, String dashes) {
    if (level > maximum) {
      return;
    }
    svg.append(
        format(
            "<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"%s\" stroke-dasharray=\"%s\"/>",
            LEFT, WIDTH - RIGHT, y(level), y(level), colour, dashes));
    svg.append(
        format(
            "<text x=\"%d\" y=\"%.1f\" text-anchor=\"end\">%.1f</text>%n",
            LEFT - 6, y(level) + 4, level));
  }

  private void appendTimeLabel(StringBuilder svg, long atMillis, String anchor) {
    svg.append(
        format(
            "<text x=\"%.1f\" y=\"%d\" text-anchor=\"%s\">%s</text>%n",
            x(atMillis), HEIGHT - 8, anchor, Instant.ofEpochMilli(atMillis)));
  }

  private void appendLine(StringBuilder svg, Line line, int index) {
    String colour = COLOURS.get(index % COLOURS.size());
    svg.append(
        format("<polyline fill=\"none\" stroke-width=\"2\" stroke=\"%s\" points=\"", colour));
    for (Point point : line.points()) {
      svg.append(format("%.1f,%.1f ", x(point.atMillis()), y(point.burnRate())));
    }
    svg.append("\"/>\n");
    int labelY = TOP + 12 + index * 15;
    if (labelY < HEIGHT - BOTTOM) {
      svg.append(
          format(
              "<rect x=\"%d\" y=\"%d\" width=\"10\" height=\"10\" fill=\"%s\"/>"
                  + "<text x=\"%d\" y=\"%d\">%s</text>%n",
              WIDTH - RIGHT + 14,
              labelY - 9,
              colour,
              WIDTH - RIGHT + 30,
              labelY,
              BurnHtmlRenderer.escape(line.team())));
    }
  }

  private double x(long atMillis) {
    double fraction = (double) (atMillis - fromMillis) / (toMillis - fromMillis);
    return LEFT + fraction * (WIDTH - LEFT - RIGHT);
  }

  private double y(double burnRate) {
    return HEIGHT - BOTTOM - burnRate / maximum * (HEIGHT - TOP - BOTTOM);
  }

  private static String format(String pattern, Object... values) {
    return String.format(Locale.ROOT, pattern, values);
  }
}
