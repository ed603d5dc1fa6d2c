package org.cicadaford.description;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterTry;
import org.cicadaford.model.JobKind;
import org.cicadaford.model.Resources;
import org.cicadaford.model.Urgency;

/** Guards against invalid files that are accepted and errors reported without their position. */
class DescriptionCollectorTest {

  private static final String POLICIES =
      "teams:\n  - name: counters\n    quota: 40\nqueues:\n  - name: counter\n";
  private static final String JOB =
      """
      jobs:
        - name: frost
          team: counters
          kind: batch
          queue: counter
          processors: 1.5
          memory: 2GiB
          program: echo done
      """;

  private final Path directory = newDirectory();
  private final DescriptionCollector collector =
      new DescriptionCollector(DescriptionLimits.DEFAULT);

  private static Path newDirectory() {
    try {
      return Files.createTempDirectory("descriptions");
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  @AfterTry
  void removeFiles() throws IOException {
    try (var paths = Files.walk(directory)) {
      for (Path path : paths.sorted((a, b) -> b.compareTo(a)).toList()) {
        Files.delete(path);
      }
    }
  }

  private void write(String name, String text) throws IOException {
    Path file = directory.resolve(name);
    Files.createDirectories(file.getParent());
    Files.writeString(file, text);
  }

  private String errorsOf(String text) throws IOException {
    write("a.cicadaford.yaml", text);
    return errors();
  }

  private String errors() {
    InvalidDescriptionsException exception =
        catchThrowableOfType(
            InvalidDescriptionsException.class, () -> collector.collect(List.of(directory)));
    return exception == null
        ? ""
        : exception.getMessage().replace(directory + "/", "").replace(directory.toString(), "DIR");
  }

  @Example
  void allFieldsAreRead() throws Exception {
    write("policies/p.cicadaford.yaml", POLICIES);
    write(
        "jobs/full.cicadaford.yaml",
        JOB
            + "    urgency: urgent\n    accelerators: 2\n    tasks: 7\n    spread: 3\n"
            + "    zones: [Finistère, \"Côtes-d'Armor\"]\n    deadline: 1.5h\n"
            + "    expected-run: 90s\n    checkpoint: true\n    repeatable: true\n");

    DescriptionSet set = collector.collect(List.of(directory, directory.resolve("jobs/..")));

    var job = set.jobs().getFirst();
    assertThat(job.kind()).isEqualTo(JobKind.BATCH);
    assertThat(job.urgency()).isEqualTo(Urgency.URGENT);
    assertThat(job.resourcesPerTask()).isEqualTo(new Resources(1_500, 2_048, 2));
    assertThat(job.zones()).containsExactly("Finistère", "Côtes-d'Armor");
    assertThat(job.taskCount()).isEqualTo(7);
    assertThat(job.maxTasksPerRack()).isEqualTo(3);
    assertThat(job.deadlineMillis()).isEqualTo(5_400_000);
    assertThat(job.expectedRunMillis()).isEqualTo(90_000);
    assertThat(job.checkpointable() && job.repeatable()).isTrue();
    assertThat(set.teams().getFirst().limitMillicores()).isEqualTo(40_000);
  }

  @Example
  void allErrorsOfAllFilesAreReportedWithTheirPositions() throws IOException {
    write("a.cicadaford.yaml", POLICIES + JOB + "    urgncy: urgent\n");
    write("b.cicadaford.yaml", JOB.replace("frost", "snow").replace("2GiB", "2"));

    assertThat(errors())
        .contains(
            "a.cicadaford.yaml:14:5: jobs[0].urgncy: unknown field; did you mean urgency?",
            "b.cicadaford.yaml:7:13: jobs[0].memory: the unit is missing; write one of MiB,",
            "errors: 2");
  }

  @Provide
  Arbitrary<Map.Entry<String, String>> badFields() {
    return Arbitraries.of(
        Map.entry("    zones: []\n", "expected a list of availability zones"),
        Map.entry("    zones: [a, a]\n", "listed twice"),
        Map.entry("    zones: [e\u0301]\n", "separate accents"),
        Map.entry("    zones: [\" a\"]\n", "not the name of an availability zone"),
        Map.entry("    tasks: 0\n", "0 is out of range; write 1 to 10000"),
        Map.entry("    tasks: 1.5\n", "too many decimals; write a whole number"),
        Map.entry("    tasks: \"3\"\n", "expected a number, found the text \"3\""),
        Map.entry("    tasks: 010\n", "without quotes, sign, unit or leading zeros"),
        Map.entry("    tasks: -1\n", "expected a number"),
        Map.entry("    spread: {a: b}\n", "expected a number, found a mapping"),
        Map.entry("    accelerators: 65\n", "65 is out of range"),
        Map.entry("    deadline: 90\n", "the unit is missing"),
        Map.entry("    deadline: 90 minutes\n", "\"minutes\" is not a known unit"),
        Map.entry("    deadline: 1:30\n", "expected a quantity"),
        Map.entry("    deadline: 400d\n", "out of range"),
        Map.entry("    deadline: 5s\n    expected-run: 6s\n", "shorter than the expected run"),
        Map.entry("    repeatable: yes\n", "expected true or false, found the boolean yes"),
        Map.entry("    checkpoint: 1\n", "expected true or false"),
        Map.entry("    urgency: Urgent\n", "did you mean urgent?"),
        Map.entry("    urgency: deferrable\n", "add a deadline"),
        Map.entry("    team: counters\n", "the field is duplicated"),
        Map.entry("    <<: {tasks: 3}\n", "unknown field"),
        Map.entry("    ? [a]\n    : b\n", "a field name must be text"),
        Map.entry("\tx: 1\n", "a tab in the indentation; indent with spaces"),
        Map.entry("   x: [\n", "not valid YAML"),
        Map.entry("---\njobs: []\n", "keep one document in each file"),
        Map.entry("    a: \u0007\n", "character U+0007 is not allowed"));
  }

  @Property(seed = "1")
  void invalidFieldIsReportedWithItsRemedy(@ForAll("badFields") Map.Entry<String, String> badField)
      throws IOException {
    assertThat(errorsOf(POLICIES + JOB + badField.getKey())).contains(badField.getValue());
  }

  @Provide
  Arbitrary<List<String>> badReplacements() {
    return Arbitraries.of(
        List.of("name: frost", "name: no", "expected text, found the boolean no; put it in quotes"),
        List.of("name: frost", "name: Frost", "\"Frost\" is not a name"),
        List.of("    program: echo done\n", "", "the required field is missing; add program"),
        List.of("echo done", "\"  \"", "the program has 2 characters"),
        List.of("kind: batch", "kind: gnag", "did you mean gang?"),
        List.of("kind: batch", "kind: service\n    deadline: 5s", "runs until it is removed"),
        List.of("kind: batch", "kind: service\n    tasks: 27", "27 tasks at once need 40500"),
        List.of("processors: 1.5", "processors: 41", "1 tasks at once need 41000 millicores"),
        List.of(
            "kind: batch", "kind: gang\n    tasks: 182\n    spread: 2", "needs 91 racks, but an"),
        List.of("processors: 1.5", "processors: 0.0001", "0.0001 cores is out of range"),
        List.of("processors: 1.5", "processors: 0.0015", "at most 3 decimals"),
        List.of("2GiB", "2GB", "\"GB\" is not a known unit; write one of MiB, GiB, TiB"),
        List.of("2GiB", "0.5MiB", "0.5 MiB is out of range"),
        List.of("2GiB", "1.1MiB", "write a whole number of MiB"),
        List.of("team: counters", "team: counter", "unknown team counter; did you mean counters?"),
        List.of("queue: counter", "queue: zz", "unknown queue zz; define it"),
        List.of("jobs:", "job:", "job: unknown field; did you mean jobs?"),
        List.of("jobs:\n", "jobs: 3\nx:\n", "expected a list, found the number or date 3"),
        List.of(
            "  - name: frost", "  - frost\n  - name: frost", "expected fields, found the text"));
  }

  @Property(seed = "1")
  void invalidEntryIsReportedWithItsRemedy(@ForAll("badReplacements") List<String> change)
      throws IOException {
    String text = JOB.replaceFirst(change.get(0), change.get(1));

    assertThat(errorsOf(POLICIES + text)).contains(change.get(2));
  }

  @Example
  void duplicateNameIsReportedWithBothPositions() throws IOException {
    write("a.cicadaford.yaml", POLICIES + JOB);
    write("b.cicadaford.yaml", JOB + POLICIES);

    assertThat(errors())
        .contains(
            "b.cicadaford.yaml:2:11: jobs[0].name: job frost is already defined in"
                + " a.cicadaford.yaml:7;",
            "team counters is already defined in",
            "queue counter is already defined in");
  }

  @Example
  void teamWithInvalidFieldIsNotReportedAsUnknown() throws IOException {
    assertThat(errorsOf(POLICIES.replace("quota: 40", "quota: many") + JOB))
        .contains("teams[0].quota: expected a number")
        .doesNotContain("unknown team");
  }

  @Example
  void skippedAndUnreadableFilesAreReported() throws IOException {
    assertThat(errors()).contains("DIR:1:1: contains no description file");
    write("a.cicadaford.yml", JOB);
    assertThat(errors()).contains("rename it to end in .cicadaford.yaml");
    write("b.cicadaford.yaml", "");
    assertThat(errors()).contains("expected lists of jobs, teams or queues, found nothing");
    Files.write(
        directory.resolve("c.cicadaford.yaml"),
        "jobs:\n  - name: é".getBytes(StandardCharsets.ISO_8859_1));
    assertThat(errors()).contains("c.cicadaford.yaml:2:11: the bytes are not UTF-8");
  }

  @Example
  void hiddenDirectoriesAreNotRead() throws Exception {
    write("a.cicadaford.yaml", POLICIES + JOB);
    write(".git/b.cicadaford.yaml", "broken");

    assertThat(collector.collect(List.of(directory)).fileCount()).isEqualTo(1);
  }
}
