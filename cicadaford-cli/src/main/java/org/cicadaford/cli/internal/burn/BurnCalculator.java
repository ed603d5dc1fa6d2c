package org.cicadaford.cli.internal.burn;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.cicadaford.cli.internal.burn.BurnReport.Alert;
import org.cicadaford.cli.internal.burn.BurnReport.Line;
import org.cicadaford.cli.internal.burn.BurnReport.ObjectiveBurn;
import org.cicadaford.cli.internal.burn.BurnReport.Point;
import org.cicadaford.cli.internal.burn.BurnReport.Row;
import org.cicadaford.cli.internal.burn.BurnReport.WindowBurn;

/** Computes burn rates and remaining error budgets from samples. */
public final class BurnCalculator {

  /** Matches all teams or all zones. */
  public static final String ALL = "*";

  /** Burn rate that uses 2% of a 30-day budget in an hour. */
  static final double PAGE_RATE = 14.4;

  /** Burn rate that exhausts the budget exactly at the end of its period. */
  static final double TICKET_RATE = 1;

  private static final int MAX_HISTORY_POINTS = 200;
  private static final int MAX_PLOTTED_TEAMS = 7;

  private BurnCalculator() {}

  /** Returns the report at {@code nowMillis}. */
  public static BurnReport report(
      List<Objective> objectives, List<Sample> samples, long nowMillis) {
    long first = samples.stream().mapToLong(Sample::atMillis).min().orElse(0);
    List<ObjectiveBurn> burns = new ArrayList<>();
    for (Objective objective : objectives) {
      burns.add(burn(objective, samples, first, nowMillis));
    }
    return new BurnReport(nowMillis, first, samples.size(), burns);
  }

  private static ObjectiveBurn burn(
      Objective objective, List<Sample> samples, long firstMillis, long nowMillis) {
    EventHistory history = EventHistory.of(objective.name(), samples);
    RowBuilder rows = new RowBuilder(objective, history, firstMillis, nowMillis);
    List<Row> all = new ArrayList<>();
    all.add(rows.build(ALL, ALL));
    for (String team : history.teams()) {
      all.add(rows.build(team, ALL));
      history.zonesOf(team).forEach(zone -> all.add(rows.build(team, zone)));
    }
    List<Long> times = plotTimes(samples, nowMillis);
    List<Line> lines = new ArrayList<>();
    lines.add(line(ALL, objective, history, times));
    for (String team : worstTeams(all)) {
      lines.add(line(team, objective, history, times));
    }
    return new ObjectiveBurn(objective.name(), objective.meaning(), objective.target(), all, lines);
  }

  /** Selects a few teams, because a plot with hundreds of lines would be unreadable. */
  private static List<String> worstTeams(List<Row> rows) {
    return rows.stream()
        .filter(row -> !row.team().equals(ALL) && row.zone().equals(ALL))
        .sorted(Comparator.comparingDouble(Row::budgetLeft).thenComparing(Row::team))
        .limit(MAX_PLOTTED_TEAMS)
        .map(Row::team)
        .toList();
  }

  private record RowBuilder(
      Objective objective, EventHistory history, long firstMillis, long nowMillis) {

    Row build(String team, String zone) {
      List<WindowBurn> windows =
          BurnWindow.ALL.stream().map(window -> burnIn(window, team, zone)).toList();
      double budgetLeft = 1 - burnIn(BurnWindow.PERIOD, team, zone).burnRate();
      return new Row(team, zone, windows, budgetLeft, alert(windows));
    }

    private WindowBurn burnIn(BurnWindow window, String team, String zone) {
      EventCount events = history.count(team, zone, nowMillis - window.millis(), nowMillis);
      long covered = Math.min(window.millis(), firstMillis == 0 ? 0 : nowMillis - firstMillis);
      return new WindowBurn(
          window.name(), covered, events.bad(), events.total(), rate(events, objective.target()));
    }
  }

  static double rate(EventCount events, double target) {
    return events.badFraction() / (1 - target);
  }

  /** Requires a long window for significance and a short one so that alerts clear quickly. */
  static Alert alert(List<WindowBurn> windows) {
    if (rateOf(windows, BurnWindow.MINUTES_5) >= PAGE_RATE
        && rateOf(windows, BurnWindow.HOUR_1) >= PAGE_RATE) {
      return Alert.page;
    }
    boolean needsTicket =
        rateOf(windows, BurnWindow.HOURS_6) >= TICKET_RATE
            && rateOf(windows, BurnWindow.DAYS_3) >= TICKET_RATE;
    return needsTicket ? Alert.ticket : Alert.none;
  }

  private static double rateOf(List<WindowBurn> windows, BurnWindow window) {
    return windows.stream()
        .filter(burn -> burn.window().equals(window.name()))
        .mapToDouble(WindowBurn::burnRate)
        .findFirst()
        .orElse(0);
  }

  private static List<Long> plotTimes(List<Sample> samples, long nowMillis) {
    List<Long> times =
        samples.stream()
            .map(Sample::atMillis)
            .filter(at -> at > nowMillis - BurnWindow.DAYS_3.millis() && at <= nowMillis)
            .distinct()
            .sorted()
            .toList();
    int step = Math.max(1, Math.ceilDiv(times.size(), MAX_HISTORY_POINTS));
    List<Long> chosen = new ArrayList<>();
    for (int i = times.size() - 1; i >= 0; i -= step) {
      chosen.addFirst(times.get(i));
    }
    return chosen;
  }

  private static Line line(
      String team, Objective objective, EventHistory history, List<Long> times) {
    List<Point> points = new ArrayList<>();
    for (long at : times) {
      EventCount events = history.count(team, ALL, at - BurnWindow.HOUR_1.millis(), at);
      points.add(new Point(at, rate(events, objective.target())));
    }
    return new Line(team, points);
  }
}
