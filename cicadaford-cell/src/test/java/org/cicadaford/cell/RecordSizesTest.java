package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import net.jqwik.api.Example;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.model.Resources;

/** Tests that the largest records of each kind fit the store, as docs/OPERATIONS.md states. */
class RecordSizesTest {

  private static final Queue QUEUE =
      SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE).queue("q").orElseThrow();

  /** Checkpoint as the platform writes it. */
  private static final String CHECKPOINT = "0123456789abcdef";

  private static Job job(int tasksOfOne, int occurrences) {
    StepSpec step = SimulatedJobs.step(tasksOfOne, 1_000, 300, false);
    JobSpec spec = new JobSpec("payload", List.of(step), occurrences, 1, 1);
    return new Job(new JobDefinition("00000000000000a1", QUEUE, "team", "z", 0, false, spec));
  }

  /** Begins as many occurrences as allowed, places all tasks, and completes each second one. */
  private static Job busyJob(int tasksOfOne, String checkpoint) {
    Job job = job(tasksOfOne, 2_000_000_000);
    job.doneOccurrences().add(1_000_000);
    int worker = 0;
    int occurrence = 1_000_001;
    while (job.mayBeginOccurrence()) {
      for (StepRun step : job.beginOccurrence(occurrence)) {
        for (Task task : step.tasks()) {
          Worker on = new Worker("i-%08x".formatted(worker++), 1_700_000_000_000L);
          task.lastRun(65_000);
          task.failedCount(100);
          task.losses(2, 2);
          task.lastLostRun(64_000);
          task.checkpoint(checkpoint);
          task.place(new Placement(task, 65_000, on, 1_700_000_000_000L, 0));
        }
      }
      job.doneOccurrences().add(occurrence + 1);
      occurrence += 2;
    }
    return job;
  }

  private static RecordWrite progress(Job job) throws Exception {
    RecordWrite write = JobRecordFactory.progress(job);
    StoredRecordChecker.check(RecordCodec.decode(write.value(), JobProgress.class));
    return write;
  }

  /** Guards against a job of the largest size whose progress the store refuses. */
  @Example
  void largestProgressFitsTheStore() throws Exception {
    for (int tasksOfOne : List.of(1, 2, 3, 10, 100, JobSpecValidator.MAX_TASKS)) {
      for (String checkpoint : List.of("", CHECKPOINT, CHECKPOINT.repeat(100))) {
        Job job = busyJob(tasksOfOne, checkpoint);
        RecordWrite running = progress(job);
        assertThat(RecordLimits.isTooLarge(running)).as("%d tasks", tasksOfOne).isFalse();
        job.phase(JobPhase.FAILED);
        assertThat(RecordLimits.sizeOf(progress(job))).isLessThan(RecordLimits.sizeOf(running));
      }
    }
  }

  /** Guards against dropping checkpoints that fit, and those of other tasks than the largest. */
  @Example
  void onlyTheLongestCheckpointsAreLeftOut() throws Exception {
    Job job = busyJob(100, CHECKPOINT);
    Task largest = job.occurrences().values().iterator().next().get(0).tasks().get(7);
    largest.checkpoint("x".repeat(200_000));
    JobProgress stored = RecordCodec.decode(progress(job).value(), JobProgress.class);
    List<String> checkpoints = new ArrayList<>();
    stored.occurrences().forEach(one -> one.tasks().forEach(t -> checkpoints.add(t.checkpoint())));
    assertThat(checkpoints.get(7)).isEmpty();
    assertThat(Collections.frequency(checkpoints, CHECKPOINT)).isEqualTo(checkpoints.size() - 1);
  }

  /** Guards against ranges that grow with use: their number follows from what is in progress. */
  @Example
  void rangesAreBoundedByTheOccurrencesInProgress() {
    Job job = job(1, 2_000_000_000);
    java.util.Random random = new java.util.Random(41);
    for (int step = 0; step < 20_000; step++) {
      if (job.occurrences().isEmpty() || job.mayBeginOccurrence() && random.nextInt(3) > 0) {
        job.beginOccurrence(job.nextOccurrence());
      } else {
        List<Integer> open = List.copyOf(job.occurrences().keySet());
        int ended = open.get(random.nextInt(Math.min(open.size(), 50)));
        job.occurrences().get(ended).forEach(one -> one.tasks().forEach(Task::markDone));
        job.completeOccurrence(ended);
      }
      assertThat(job.doneOccurrences().rangeCount())
          .isLessThanOrEqualTo(job.occurrences().size() + 1);
    }
    assertThat(job.doneOccurrences().count()).isGreaterThan(5_000);
  }

  /** Guards against a submission that is accepted and can never be stored. */
  @Example
  void descriptionThatNoRecordHoldsIsRefused() throws Exception {
    List<Integer> after = Collections.nCopies(9_000, 0);
    List<StepSpec> steps = new ArrayList<>();
    for (int index = 0; index < JobSpecValidator.MAX_STEPS; index++) {
      steps.add(SimulatedJobs.step(25, 1_000, 300, false));
      assertThat(JobSpecValidator.maxEncodedBytes(spec(steps)))
          .isGreaterThanOrEqualTo(RecordCodec.encode(spec(steps)).length);
    }
    JobSpecValidator.checkSize(spec(steps), 0);
    for (int index = 1; index < 40; index++) {
      steps.set(index, SimulatedJobs.step(25, 1_000, 300, false, after.toArray(Integer[]::new)));
    }
    JobSpecValidator.check(spec(steps));
    assertThat(RecordCodec.encode(spec(steps)).length).isGreaterThan(RecordLimits.MAX_RECORD_BYTES);
    assertThatThrownBy(() -> JobSpecValidator.checkSize(spec(steps), 0))
        .isInstanceOf(InvalidJobException.class)
        .hasMessageContaining("bytes as stored");
    List<StepSpec> small = List.of(SimulatedJobs.step(1, 1_000, 300, false));
    assertThatThrownBy(() -> JobSpecValidator.checkSize(spec(small), RecordLimits.MAX_RECORD_BYTES))
        .isInstanceOf(InvalidJobException.class);
  }

  private static JobSpec spec(List<StepSpec> steps) {
    return new JobSpec("x".repeat(JobSpecValidator.MAX_PAYLOAD_BYTES), steps, 0, 0, 0);
  }
}
