package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.cicadaford.model.Resources;

/** Tests the occurrences of recurring jobs. */
class JobTest {

  private static final int TWO_BILLION = 2_000_000_000;

  /** Guards against a submission that blocks the coordinator and fills its memory. */
  @Example
  void jobWithVeryManyDueOccurrencesBeginsFewAtATime() {
    SimulatedCell cell =
        new SimulatedCell(41, SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE), 2);
    StepSpec step = SimulatedJobs.step(2_000, 1_000, 300, false);
    JobSpec spec = new JobSpec("payload", List.of(step), TWO_BILLION, 1, 1);
    cell.run(500);
    cell.submit("many", "team", spec);
    cell.submit("other", SimulatedJobs.step(1, 1_000, 300, false));
    cell.coordinator.cancel("many", cell.moment());
    cell.run(2_000);
    assertThat(cell.phaseOf("other")).isEqualTo(JobPhase.COMPLETED);
  }

  /** Guards against a job whose later occurrences never begin. */
  @Example
  void occurrencesBeginAsEarlierOnesEnd() {
    SimulatedCell cell =
        new SimulatedCell(42, SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE), 4);
    long dueMillis = cell.moment().unixMillis();
    cell.run(500);
    StepSpec step = SimulatedJobs.step(3_000, 1, 100, false);
    cell.submit("rounds", "team", SimulatedJobs.recurringJob("rounds", 3, dueMillis, step));
    cell.run(20_000);
    assertThat(cell.phaseOf("rounds")).isEqualTo(JobPhase.COMPLETED);
    assertThat(cell.violations).isEmpty();
  }

  /**
   * Guards against a job that runs each second and whose record exceeds the limit of the store
   * after 18 hours, so that nothing of any job is stored any more.
   */
  @Example
  void recordOfAJobWithManyCompletedOccurrencesFitsTheStore() {
    StepSpec step = SimulatedJobs.step(1, 1_000, 300, false);
    JobSpec spec = new JobSpec("payload", List.of(step), TWO_BILLION, 1, 1);
    Queue queue = SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE).queue("q").orElseThrow();
    Job job = new Job(new JobDefinition("seconds", queue, "team", "z", 0, false, spec));
    int largest = 0;
    for (int occurrence = 0; occurrence < 100_000; occurrence++) {
      job.doneOccurrences().add(job.nextOccurrence());
      if (occurrence % 500 == 0) {
        largest = Math.max(largest, JobRecordFactory.progress(job).value().length);
      }
    }
    assertThat(largest).isLessThan(262_144);
  }
}
