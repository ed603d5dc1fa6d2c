package org.cicadaford.cli.internal.burn;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.cicadaford.cli.internal.burn.BurnReport.Alert;
import org.cicadaford.cli.internal.burn.BurnReport.Line;
import org.cicadaford.cli.internal.burn.BurnReport.ObjectiveBurn;
import org.cicadaford.cli.internal.burn.BurnReport.Point;
import org.cicadaford.cli.internal.burn.BurnReport.Row;
import org.cicadaford.cli.internal.burn.BurnReport.WindowBurn;

/** Computes burn rates and what is left of error budgets from samples. */
public final class BurnCalculator {

  /** Stands for all teams or all zones. */
  public static final String ALL = "*";

  /** Burn rate that uses 2% of a 30-day budget in an hour. */
  static final double PAGE_RATE = 14.4;

  /** Burn rate that uses the budget up exactly in its period. */
  static final double TICKET_RATE = 1;

  private static final int MAX_HISTORY_POINTS = 200;

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
    RowMaker rows = new RowMaker(objective, history, firstMillis, nowMillis);
    List<Row> all = new ArrayList<>();
    all.add(rows.make(ALL, ALL, entry -> true));
    List<Line> lines = new ArrayList<>();
    lines.add(line(ALL, objective, history, samples, nowMillis, entry -> true));
    for (String team : history.teams()) {
      Predicate<EventHistory.Entry> ofTeam = entry -> entry.team().equals(team);
      all.add(rows.make(team, ALL, ofTeam));
      lines.add(line(team, objective, history, samples, nowMillis, ofTeam));
      for (String zone : history.zonesOf(team)) {
        all.add(rows.make(team, zone, ofTeam.and(entry -> entry.zone().equals(zone))));
      }
    }
    return new ObjectiveBurn(objective.name(), objective.meaning(), objective.target(), all, lines);
  }

  private record RowMaker(
      Objective objective, EventHistory history, long firstMillis, long nowMillis) {

    Row make(String team, String zone, Predicate<EventHistory.Entry> filter) {
      List<WindowBurn> windows = BurnWindow.ALL.stream().map(w -> window(w, filter)).toList();
      double budgetLeft = 1 - window(BurnWindow.PERIOD, filter).burnRate();
      return new Row(team, zone, windows, budgetLeft, alert(windows));
    }

    private WindowBurn window(BurnWindow window, Predicate<EventHistory.Entry> filter) {
      EventCount events = history.count(nowMillis - window.millis(), nowMillis, filter);
      long covered = Math.min(window.millis(), firstMillis == 0 ? 0 : nowMillis - firstMillis);
      return new WindowBurn(
          window.name(), covered, events.bad(), events.total(), rate(events, objective.target()));
    }
  }

  static double rate(EventCount events, double target) {
    return events.badPart() / (1 - target);
  }

  /** An alert needs a long window, so that it matters, and a short one, so that it ends soon. */
  static Alert alert(List<WindowBurn> windows) {
    if (rateOf(windows, BurnWindow.MINUTES_5) >= PAGE_RATE
        && rateOf(windows, BurnWindow.HOUR_1) >= PAGE_RATE) {
      return Alert.page;
    }
    boolean slow =
        rateOf(windows, BurnWindow.HOURS_6) >= TICKET_RATE
            && rateOf(windows, BurnWindow.DAYS_3) >= TICKET_RATE;
    return slow ? Alert.ticket : Alert.none;
  }

  private static double rateOf(List<WindowBurn> windows, BurnWindow window) {
    return windows.stream()
        .filter(burn -> burn.window().equals(window.name()))
        .mapToDouble(WindowBurn::burnRate)
        .findFirst()
        .orElse(0);
  }

  private static Line line(
      String team,
      Objective objective,
      EventHistory history,
      List<Sample> samples,
      long nowMillis,
      Predicate<EventHistory.Entry> filter) {
    List<Long> times =
        samples.stream()
            .map(Sample::atMillis)
            .filter(at -> at > nowMillis - BurnWindow.DAYS_3.millis() && at <= nowMillis)
            .distinct()
            .sorted()
            .toList();
    int step = Math.max(1, Math.ceilDiv(times.size(), MAX_HISTORY_POINTS));
    List<Point> points = new ArrayList<>();
    for (int i = times.size() - 1; i >= 0; i -= step) {
      long at = times.get(i);
      EventCount events = history.count(at - BurnWindow.HOUR_1.millis(), at, filter);
      points.addFirst(new Point(at, rate(events, objective.target())));
    }
    return new Line(team, points);
  }
}
