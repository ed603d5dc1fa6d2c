package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.cicadaford.model.Resources;

/** Tests that the batch tasks of a team do not delay its urgent tasks. */
class LimitPreemptorTest {

  private static final long URGENT_MILLIS = 400;

  private static Queue queue(String name, int priority) {
    return new Queue(
        name, "h", "/" + name, "svc", priority, 4, 1.5, 250, 3_000, false, AdvicePolicy.NONE);
  }

  private static SimulatedCell cell(long seed) {
    TeamShare team = new TeamShare("team", Set.of(), 0, new Resources(16_000, 0, 0));
    CellConfig config =
        new CellConfig(1, List.of(queue("urgent", 0), queue("batch", 2)), List.of(team));
    SimulatedCell cell = new SimulatedCell(seed, config, 4);
    cell.run(500);
    return cell;
  }

  private static String submit(SimulatedCell cell, String id, String queue, StepSpec step) {
    cell.submit(id, queue, "team", SimulatedJobs.job(id, step));
    return id;
  }

  /**
   * Guards against urgent jobs that wait seconds for batch tasks to end because their team is at
   * its limit, while the cell has free capacity.
   */
  @Property(tries = 10, seed = "4831")
  void urgentJobsOfATeamAtItsLimitAreOnTime(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    SimulatedCell cell = cell(seed);
    List<String> batch = new ArrayList<>();
    for (int index = 0; index < 4; index++) {
      StepSpec step = SimulatedJobs.checkpointingStep(8, 2_000, 5_000);
      batch.add(submit(cell, "batch" + seed + "-" + index, "batch", step));
    }
    cell.run(1_000);
    List<String> urgent = new ArrayList<>();
    for (int index = 0; index < 30; index++) {
      StepSpec step = SimulatedJobs.step(2, 1_000, URGENT_MILLIS, false);
      urgent.add(submit(cell, "urgent" + seed + "-" + index, "urgent", step));
      cell.run(100 + cell.random.nextInt(300));
    }
    cell.run(60_000);
    assertThat(cell.violations).isEmpty();
    assertThat(cell.ended.keySet()).containsAll(urgent).containsAll(batch);
    long objectiveMillis = Math.round(1.5 * URGENT_MILLIS) + 250;
    assertThat(urgent).allSatisfy(id -> assertThat(cell.ended.get(id)).isLessThan(objectiveMillis));
  }

  /** Guards against discarding work: tasks that cannot be resumed run to completion. */
  @Example
  void tasksWithoutCheckpointsAreNotPreempted() {
    SimulatedCell cell = cell(3);
    submit(cell, "unsaved", "batch", SimulatedJobs.step(8, 2_000, 3_000, false));
    cell.run(500);
    submit(cell, "behind", "urgent", SimulatedJobs.step(2, 1_000, URGENT_MILLIS, false));
    cell.run(8_000);
    assertThat(cell.starts).isEqualTo(10);
    assertThat(cell.ended.keySet()).contains("unsaved", "behind");
  }
}
