package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.cicadaford.model.Resources;

/** Tests how the duration of a step is split by the phases of its last task. */
class PhaseTimesTest {

  private static final Queue QUEUE =
      SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE).queue("q").orElseThrow();

  private final Worker worker = new Worker("w0", 100);
  private final StepRun step = new StepRun(job(), 0, 0);

  private static Job job() {
    JobSpec spec = SimulatedJobs.job("job", SimulatedJobs.step(1, 1_000, 500, false));
    return new Job(new JobDefinition("job", QUEUE, "team", "zone", 0, false, spec));
  }

  private Placement run(int number, long placedAtMillis) {
    Placement placement =
        new Placement(step.tasks().getFirst(), number, worker, 100, placedAtMillis);
    placement.task().place(placement);
    placement.orderSent(number, placedAtMillis + 35);
    placement.markConfirmed(number, placedAtMillis + 55);
    return placement;
  }

  /** Guards against time in the store or of orders that is reported as time of the run. */
  @Example
  void splitsTheDurationOfARun() {
    step.markReady(950);
    PhaseTimes times = new PhaseTimes();
    times.addStep(step, run(1, 1_000), 1_700);
    assertThat(times.summary()).isEqualTo("place:50,repeat:0,store:35,order:20,run:645");
  }

  /** Guards against lost runs that are reported as time of the last one. */
  @Example
  void separatesLostRuns() {
    step.markReady(1_000);
    run(1, 1_000).task().place(null);
    PhaseTimes times = new PhaseTimes();
    times.addStep(step, run(2, 1_600), 2_300);
    assertThat(times.summary()).isEqualTo("place:0,repeat:600,store:35,order:20,run:645");
  }

  /** Guards against steps of a job whose durations are not added. */
  @Example
  void addsSteps() {
    step.markReady(950);
    PhaseTimes ofStep = new PhaseTimes();
    ofStep.addStep(step, run(1, 1_000), 1_700);
    PhaseTimes ofJob = new PhaseTimes();
    List.of(ofStep, ofStep).forEach(ofJob::add);
    assertThat(ofJob.summary()).isEqualTo("place:100,repeat:0,store:70,order:40,run:1290");
  }
}
