package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.cicadaford.cell.JobProgress.TaskProgress;
import org.cicadaford.cell.JobProgress.WorkerKey;
import org.cicadaford.cell.occurrences.OccurrenceRanges;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.model.Resources;

/** Tests that a coordinator starts whatever one stored record holds. */
class JobRestorerTest {

  private static final String GOOD = "00000000000000aa";
  private static final String ODD = "00000000000000bb";
  private static final Queue QUEUE =
      new Queue("q", "h", "/q/", "s", 0, 3, 2, 250, 3_000, false, AdvicePolicy.NONE);
  private static final ClockReading NOW = new ClockReading(10_000, 1_700_000_000_000L);

  private static final OccurrenceRanges NONE = new OccurrenceRanges();

  private static StepSpec step(int taskCount, List<Integer> after) {
    Resources demand = new Resources(1_000, 100, 0);
    return new StepSpec(
        taskCount, demand, 500, after, false, false, false, "", "", 0, false, false, "", 0, false,
        0);
  }

  private static JobSpec spec() {
    return new JobSpec("x", List.of(step(2, List.of())), 0, 0, 0);
  }

  private static JobDefinition definition(String jobId, Queue queue, String team, JobSpec spec) {
    return new JobDefinition(jobId, queue, team, "z", 1_700_000_000_000L, false, spec);
  }

  private static Object progress(List<TaskProgress> tasks) {
    return progress(tasks, 0, List.of());
  }

  /** Returns the elements of a progress record, whose completed occurrences may be odd. */
  private static List<Object> progress(
      List<TaskProgress> tasks, int occurrence, List<?> doneOccurrences) {
    return List.of(
        "q",
        "t",
        JobPhase.RUNNING,
        0,
        List.of(new WorkerKey("w", 5)),
        doneOccurrences,
        List.of(Arrays.asList(occurrence, tasks)));
  }

  private static JobProgress jobProgress(
      JobPhase phase, List<WorkerKey> workers, OccurrenceRanges doneOccurrences) {
    List<JobProgress.OccurrenceProgress> occurrences = workers == null ? null : List.of();
    return new JobProgress("q", "t", phase, 0, workers, doneOccurrences, occurrences, false);
  }

  private static TaskProgress task(int lastRun, int workerIndex, String checkpoint) {
    return new TaskProgress(false, lastRun, 0, workerIndex, checkpoint, 0, 0, 0);
  }

  private static RecordWrite write(String prefix, String jobId, Object value) {
    return new RecordWrite(prefix + jobId, RecordCodec.encode(value));
  }

  private static Coordinator coordinator() {
    return new Coordinator(CoordinatorSettings.forPlatform(6_000, 600_000));
  }

  /** Restores a sound job beside odd records and returns the keys that are not readable. */
  private static List<String> restoreBeside(RecordWrite... odd) {
    List<RecordWrite> records = new ArrayList<>(List.of(odd));
    records.add(write("d/", GOOD, definition(GOOD, QUEUE, "t", spec())));
    records.add(
        write(
            "p/",
            GOOD,
            progress(List.of(task(1, 0, ""), new TaskProgress(true, 1, 0, -1, "", 0, 0, 0)))));
    Coordinator coordinator = coordinator();
    List<String> unreadable = coordinator.restore(records, NOW);
    coordinator.advance(NOW);
    coordinator.takeBatch();
    coordinator.batchStored(NOW);
    assertThat(coordinator.job(GOOD).orElseThrow().phase()).isEqualTo(JobPhase.RUNNING);
    return unreadable;
  }

  /**
   * Guards against a record with values that no coordinator writes: it failed the start of each
   * coordinator, so that the cell had none until the record was removed.
   */
  @Example
  void recordsWithOddValuesDoNotKeepTheCoordinatorFromStarting() {
    JobDefinition sound = definition(ODD, QUEUE, "t", spec());
    Map<String, Object> definitions = new LinkedHashMap<>();
    definitions.put("no queue", definition(ODD, null, "t", spec()));
    definitions.put("no team", definition(ODD, QUEUE, null, spec()));
    definitions.put("no spec", definition(ODD, QUEUE, "t", null));
    definitions.put("no id", definition(null, QUEUE, "t", spec()));
    definitions.put("other id", definition("00000000000000cc", QUEUE, "t", spec()));
    definitions.put("no steps", definition(ODD, QUEUE, "t", new JobSpec("x", null, 0, 0, 0)));
    definitions.put(
        "no step",
        definition(ODD, QUEUE, "t", new JobSpec("x", Arrays.asList((StepSpec) null), 0, 0, 0)));
    definitions.put("no payload", definition(ODD, QUEUE, "t", withPayload(null)));
    definitions.put("negative count", definition(ODD, QUEUE, "t", withStep(step(-1, List.of()))));
    definitions.put("huge count", definition(ODD, QUEUE, "t", withStep(step(1 << 30, List.of()))));
    definitions.put("after itself", definition(ODD, QUEUE, "t", withStep(step(1, List.of(0)))));
    definitions.put("after none", definition(ODD, QUEUE, "t", withStep(step(1, List.of(7)))));
    definitions.put("no after", definition(ODD, QUEUE, "t", withStep(step(1, null))));
    definitions.put("empty", Map.of());
    List<String> taken = new ArrayList<>();
    definitions.forEach(
        (name, definition) -> {
          if (!restoresWithout("d/", write("d/", ODD, definition))) {
            taken.add(name);
          }
        });
    Map<String, Object> progresses = new LinkedHashMap<>();
    progresses.put("worker index 1", progress(List.of(task(1, 1, ""))));
    progresses.put("worker index -2", progress(List.of(task(1, -2, ""))));
    progresses.put("run -1", progress(List.of(task(-1, 0, ""))));
    progresses.put("no checkpoint", progress(List.of(task(1, 0, null))));
    progresses.put("no task", progress(Arrays.asList((TaskProgress) null)));
    progresses.put("no tasks", progress(null));
    progresses.put("occurrence -1", progress(List.of(task(1, 0, "")), -1, List.of()));
    progresses.put("occurrence 9", progress(List.of(task(1, 0, "")), 9, List.of()));
    progresses.put("done -1", progress(List.of(task(1, 0, "")), 0, List.of(-1)));
    progresses.put(
        "done twice", progress(List.of(task(1, 0, "")), 0, List.of(List.of(0, 0), List.of(0, 0))));
    progresses.put("done 3 to 1", progress(List.of(task(1, 0, "")), 0, List.of(List.of(3, 1))));
    progresses.put("done 0 to 9", progress(List.of(task(1, 0, "")), 0, List.of(List.of(0, 9))));
    progresses.put(
        "done to 2^31", progress(List.of(task(1, 0, "")), 0, List.of(List.of(0, -1 >>> 1))));
    progresses.put(
        "done in threes", progress(List.of(task(1, 0, "")), 0, List.of(List.of(0, 0, 0))));
    progresses.put("done as text", progress(List.of(task(1, 0, "")), 0, List.of("0")));
    progresses.put("no phase", jobProgress(null, List.of(), NONE));
    progresses.put("no lists", jobProgress(JobPhase.RUNNING, null, null));
    progresses.put(
        "no worker id", jobProgress(JobPhase.RUNNING, List.of(new WorkerKey(null, 5)), NONE));
    progresses.forEach(
        (name, progress) -> {
          if (!restoresWithout("p/", write("d/", ODD, sound), write("p/", ODD, progress))) {
            taken.add(name);
          }
        });
    assertThat(taken).isEmpty();
  }

  /** Guards against tasks that run again because the record of their runs is damaged. */
  @Example
  void jobWithUnreadableProgressIsNotStartedAgain() {
    Coordinator coordinator = coordinator();
    coordinator.restore(
        List.of(
            write("d/", ODD, definition(ODD, QUEUE, "t", spec())),
            write("p/", ODD, progress(List.of(task(-1, 0, ""))))),
        NOW);
    assertThat(coordinator.job(ODD).orElseThrow().phase()).isEqualTo(JobPhase.FAILED);
  }

  private static boolean restoresWithout(String prefix, RecordWrite... records) {
    try {
      return restoreBeside(records).equals(List.of(prefix + ODD));
    } catch (RuntimeException e) {
      return false;
    }
  }

  private static JobSpec withPayload(String payload) {
    return new JobSpec(payload, List.of(step(1, List.of())), 0, 0, 0);
  }

  private static JobSpec withStep(StepSpec step) {
    return new JobSpec("x", List.of(step), 0, 0, 0);
  }

  /** Guards against bytes that fail the start of each coordinator. */
  @Property(tries = 1_000, seed = "4861")
  void damagedRecordsDoNotKeepTheCoordinatorFromStarting(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    Random random = new Random(seed);
    RecordWrite definition = write("d/", ODD, definition(ODD, QUEUE, "t", spec()));
    RecordWrite progress = write("p/", ODD, progress(List.of(task(1, 0, "cp"), task(0, -1, ""))));
    restoreBeside(damaged(definition, random), damaged(progress, random));
  }

  private static RecordWrite damaged(RecordWrite write, Random random) {
    byte[] content = write.value().clone();
    for (int change = random.nextInt(4); change > 0; change--) {
      content[random.nextInt(content.length)] = (byte) random.nextInt(256);
    }
    int length = random.nextInt(4) == 0 ? 1 + random.nextInt(content.length) : content.length;
    return new RecordWrite(write.key(), Arrays.copyOf(content, length));
  }
}
