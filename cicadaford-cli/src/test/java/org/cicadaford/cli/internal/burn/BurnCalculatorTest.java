package org.cicadaford.cli.internal.burn;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.cicadaford.cli.internal.burn.BurnReport.Alert;
import org.cicadaford.cli.internal.burn.BurnReport.ObjectiveBurn;
import org.cicadaford.cli.internal.burn.BurnReport.Row;

/** Guards against events that are lost, counted twice, or charged to the wrong team or zone. */
class BurnCalculatorTest {

  private static final long MINUTE = 60_000;
  private static final long START = 1_800_000_000_000L;
  private static final Objective OBJECTIVE =
      new Objective("o", "meaning", 0.9, false, List.of(), List.of());

  private static Sample sample(long atMillis, String id, String zone, double bad, double total) {
    return new Sample(atMillis, id, zone, Map.of("o", Map.of("team", new EventCount(bad, total))));
  }

  /** Samples of one daemon, one a minute, with the given events between them. */
  private static List<Sample> history(String id, String zone, List<Integer> bad, int total) {
    List<Sample> samples = new ArrayList<>();
    double badSum = 5;
    double totalSum = 50;
    samples.add(sample(START, id, zone, badSum, totalSum));
    for (int i = 0; i < bad.size(); i++) {
      badSum += bad.get(i);
      totalSum += total;
      samples.add(sample(START + (i + 1) * MINUTE, id, zone, badSum, totalSum));
    }
    return samples;
  }

  private static ObjectiveBurn burn(List<Sample> samples, long nowMillis) {
    return BurnCalculator.report(List.of(OBJECTIVE), samples, nowMillis).objectives().getFirst();
  }

  private static Row row(ObjectiveBurn burn, String team, String zone) {
    return burn.rows().stream()
        .filter(row -> row.team().equals(team) && row.zone().equals(zone))
        .findFirst()
        .orElseThrow();
  }

  @Property(seed = "1", tries = 200)
  void eventsOfAllZonesAddUpToTheWholeAndNoneIsLost(
      @ForAll @Size(min = 1, max = 50) List<@IntRange(max = 9) Integer> first,
      @ForAll @Size(min = 1, max = 50) List<@IntRange(max = 9) Integer> second) {
    List<Sample> samples = new ArrayList<>(history("a", "A", first, 9));
    samples.addAll(history("b", "B", second, 9));

    ObjectiveBurn burn = burn(samples, START + 50 * MINUTE);

    double expected =
        first.stream().mapToInt(i -> i).sum() + second.stream().mapToInt(i -> i).sum();
    var whole = row(burn, "*", "*").windows().get(1);
    assertThat(whole.bad()).isEqualTo(expected);
    assertThat(whole.total()).isEqualTo(9.0 * (first.size() + second.size()));
    assertThat(whole.burnRate()).isCloseTo(whole.bad() / whole.total() / 0.1, within(1e-9));
    double parts =
        row(burn, "team", "A").windows().get(1).bad()
            + row(burn, "team", "B").windows().get(1).bad();
    assertThat(parts).isEqualTo(expected);
  }

  @Property(seed = "2", tries = 200)
  void adjacentWindowsAddUp(
      @ForAll @Size(min = 2, max = 60) List<@IntRange(max = 9) Integer> bad,
      @ForAll @IntRange(max = 60) int cut) {
    EventHistory history = EventHistory.of("o", history("a", "A", bad, 9));
    long from = START;
    long middle = START + cut * MINUTE;
    long to = START + 61 * MINUTE;

    EventCount sum =
        history.count("*", "*", from, middle).plus(history.count("*", "*", middle, to));

    assertThat(sum).isEqualTo(history.count("*", "*", from, to));
  }

  @Property(seed = "3", tries = 200)
  void restartsNeverMakeEventsNegative(
      @ForAll @Size(min = 2, max = 30) List<@IntRange(max = 1000) Integer> totals) {
    List<Sample> samples = new ArrayList<>();
    for (int i = 0; i < totals.size(); i++) {
      samples.add(sample(START + i * MINUTE, "a", "A", totals.get(i) / 2, totals.get(i)));
    }

    EventCount all = EventHistory.of("o", samples).count("*", "*", START, START + 60 * MINUTE);

    assertThat(all.total()).isNotNegative();
    assertThat(all.bad()).isBetween(0.0, all.total() + totals.size());
  }

  @Property(seed = "4", tries = 100)
  void downsampledSamplesCountTheSameEvents(
      @ForAll @Size(min = 2, max = 300) List<@IntRange(max = 9) Integer> bad,
      @ForAll @IntRange(max = 100_000) int laterMinutes) {
    List<Sample> samples = history("a", "A", bad, 9);
    long now = START + (bad.size() + (long) laterMinutes) * MINUTE;

    List<Sample> thinned = SampleDownsampler.downsample(samples, now);

    EventHistory whole = EventHistory.of("o", samples);
    EventHistory thin = EventHistory.of("o", thinned);
    assertThat(thin.count("*", "*", 0, now)).isEqualTo(whole.count("*", "*", 0, now));
    long hourAgo = now - 60 * MINUTE;
    assertThat(thin.count("*", "*", hourAgo, now)).isEqualTo(whole.count("*", "*", hourAgo, now));
    assertThat(SampleDownsampler.downsample(thinned, now)).isEqualTo(thinned);
  }

  @Example
  void resetCounterCountsFromZero() {
    List<Sample> samples =
        List.of(
            sample(START, "a", "A", 5, 50),
            sample(START + MINUTE, "a", "A", 7, 70),
            sample(START + 2 * MINUTE, "a", "A", 1, 4));

    EventCount all = EventHistory.of("o", samples).count("*", "*", START, START + 5 * MINUTE);

    assertThat(all).isEqualTo(new EventCount(3, 24));
  }

  @Example
  void shortBurstPagesAndEndsWithIt() {
    List<Sample> burst =
        List.of(sample(START, "a", "A", 0, 0), sample(START + MINUTE, "a", "A", 100, 100));
    // An objective of 90% burns at most at 10, below the rate that pages.
    assertThat(row(burn(burst, START + MINUTE), "*", "*").alert()).isEqualTo(Alert.ticket);

    Objective strict = OBJECTIVE.withTarget(0.99);
    Row during =
        BurnCalculator.report(List.of(strict), burst, START + 2 * MINUTE)
            .objectives()
            .getFirst()
            .rows()
            .getFirst();
    Row after =
        BurnCalculator.report(List.of(strict), burst, START + 10 * MINUTE)
            .objectives()
            .getFirst()
            .rows()
            .getFirst();

    assertThat(during.alert()).isEqualTo(Alert.page);
    assertThat(during.budgetLeft()).isCloseTo(-99, within(1e-6));
    assertThat(after.alert()).isEqualTo(Alert.ticket);
  }

  @Example
  void noEventsIsNoBurn() {
    BurnReport report = BurnCalculator.report(List.of(OBJECTIVE), List.of(), START);

    Row row = report.objectives().getFirst().rows().getFirst();
    assertThat(row.budgetLeft()).isEqualTo(1);
    assertThat(row.windows()).allSatisfy(window -> assertThat(window.burnRate()).isZero());
    assertThat(BurnHtmlRenderer.render(report)).contains("needs samples from at least two times");
  }

  @Example
  void htmlPageNeedsNoNetworkAndEscapesNames() {
    List<Sample> samples =
        List.of(
            sample(START, "a", "<b>&", 0, 0),
            sample(START + MINUTE, "a", "<b>&", 1, 10),
            sample(START + 2 * MINUTE, "a", "<b>&", 3, 20));

    String page =
        BurnHtmlRenderer.render(
            BurnCalculator.report(List.of(OBJECTIVE), samples, START + 2 * MINUTE));

    assertThat(page).contains("<svg", "<polyline", "&lt;b&gt;&amp;").doesNotContain("<b>");
    assertThat(page).doesNotContainPattern("https?://|<script|src=|url\\(");
  }
}
