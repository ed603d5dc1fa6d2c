package org.cicadaford.cli.internal.burn;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.cicadaford.cli.internal.config.CommandException;

/** Guards against metrics that are misread, and samples that are lost between two runs. */
class EventCounterTest {

  private static final String METRICS =
      """
      # HELP cicadaford_task_waiting_seconds Time from submission to start.
      cicadaford_task_waiting_seconds_bucket{team="a",class="urgent",le="1.2"} 7
      cicadaford_task_waiting_seconds_bucket{team="a",class="urgent",le="+Inf"} 10
      cicadaford_task_waiting_seconds_count{team="a",class="urgent"} 10
      cicadaford_task_waiting_seconds_count{team="b\\"}c",class="normal"} 3
      cicadaford_requests_total{route="submit",outcome="answered"} 1.5E2
      cicadaford_requests_total{route="submit",outcome="refused"} 50
      cicadaford_refusals_total{kind="unknown-key"} 40
      cicadaford_refusals_total{kind="overloaded"} 10
      not a metric line at all
      go_value NaN
      """;

  @Example
  void eventsAreCountedByTeam() {
    var counts = EventCounter.count(DefaultObjectives.list(), PrometheusTextParser.parse(METRICS));

    assertThat(counts.get("urgent-start")).containsExactly(Map.entry("a", new EventCount(3, 10)));
    assertThat(counts.get("answered")).containsExactly(Map.entry("-", new EventCount(10, 200)));
    assertThat(counts.get("work-done")).isEmpty();
  }

  @Example
  void labelsWithEscapesAreRead() {
    assertThat(PrometheusTextParser.parse(METRICS))
        .filteredOn(value -> "normal".equals(value.labels().get("class")))
        .extracting(value -> value.labels().get("team"))
        .containsExactly("b\"}c");
  }

  @Example
  void samplesAreReadAfterAPartialLine() throws IOException {
    Path path = Files.createTempFile("samples", ".jsonl");
    SampleFile file = new SampleFile(path);
    Sample old = new Sample(5, "i", "A", Map.of());
    Sample sample = new Sample(10, "i", "A", Map.of("o", Map.of("t", new EventCount(1, 2))));
    file.append(List.of(old, sample));
    Files.writeString(path, "{\"atMillis\":11,", StandardOpenOption.APPEND);
    assertThat(file.read(4, 10)).containsExactly(sample);
    Sample next = new Sample(12, "i", "A", Map.of());
    file.append(List.of(next));
    assertThat(file.read(20, 12)).containsExactly(old, sample, next);
    Files.delete(path);
  }

  @Example
  void objectivesFileIsChecked() throws CommandException {
    String good =
        "objectives:\n- {name: a, target: 0.9, bad: [{metric: m, labels: {kind: [x]}}],"
            + " total: [{metric: n}]}\n";
    assertThat(ObjectivesReader.read("f", good).getFirst().countsBad()).isTrue();
    for (String[] fault :
        List.of(
            new String[] {"target: 0.9", "target: 99", "objectives[0].target must be a number"},
            new String[] {"name: a", "name: A", "objectives[0].name must have"},
            new String[] {"name: a", "nam: a", "objectives[0].nam is not known"},
            new String[] {"bad: [", "good: [{metric: m}], bad: [", "either good or bad"},
            new String[] {"[{metric: n}]", "[{metrics: n}]", "has an entry without metric"},
            new String[] {"[x]", "x", "labels.kind must be a list"},
            new String[] {"objectives:", "x:", "objectives is not a list"},
            new String[] {"- {name", "- name", "not valid YAML"})) {
      assertThatThrownBy(() -> ObjectivesReader.read("f", good.replace(fault[0], fault[1])))
          .isInstanceOf(CommandException.class)
          .hasMessageContaining(fault[2]);
    }
  }
}
