package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.model.Resources;

/** Tests that coordinators do not fail one after the other on the same run. */
class FaultHistoryTest {

  private static final int WORKERS = 3;

  private static SimulatedCell cell(long seed) {
    SimulatedCell cell =
        new SimulatedCell(seed, SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE), WORKERS);
    cell.run(500);
    return cell;
  }

  /** Stores that a run of the job has ended coordinators. */
  private static void storeFaults(SimulatedCell cell, String jobId, int count)
      throws MalformedRecordException {
    FaultHistory history = new FaultHistory();
    for (int fault = 0; fault < count; fault++) {
      RecordWrite write = history.recordOf(jobId, jobId + ".0.0.0", 1);
      cell.store.put(write.key(), write.value());
      history.restore(write);
    }
  }

  /** Guards against a job that fails because of a single fault, which may have another cause. */
  @Example
  void jobOfARunWithOneFaultGoesOn() throws Exception {
    SimulatedCell cell = cell(1);
    cell.submit("once", SimulatedJobs.step(2, 1_000, 2_000, false));
    cell.run(500);
    storeFaults(cell, "once", 1);
    cell.takeOver();
    cell.run(6_000);
    assertThat(cell.phaseOf("once")).isEqualTo(JobPhase.COMPLETED);
    assertThat(cell.violations).isEmpty();
  }

  /** Guards against counting faults on different runs of a job together. */
  @Example
  void faultsOnDifferentRunsAreCountedApart() throws Exception {
    FaultHistory history = new FaultHistory();
    history.restore(history.recordOf("job", "job.0.0.0", 1));
    history.restore(history.recordOf("job", "job.0.0.0", 2));
    assertThat(history.exhausted("job")).isEmpty();
    history.restore(history.recordOf("job", "job.0.0.0", 2));
    assertThat(history.exhausted("job")).contains(new RunFault("job.0.0.0", 2, 2));
  }

  /** Guards against records that stay in the store after their job. */
  @Example
  void recordIsDeletedWithItsJob() throws Exception {
    SimulatedCell cell = cell(1);
    cell.submit("removed", SimulatedJobs.step(1, 1_000, 500, false));
    cell.run(200);
    storeFaults(cell, "removed", 1);
    storeFaults(cell, "unknown", 1);
    cell.takeOver();
    cell.run(1_000);
    assertThat(cell.store).containsKey("f/removed").doesNotContainKey("f/unknown");
    cell.run(610_000);
    assertThat(cell.store).isEmpty();
  }

  /**
   * Guards against duplicate runs and overloads by the runs of a job that is given up, which are
   * not placed, while workers are cut off and coordinators change.
   */
  @Property(tries = 20, seed = "4921")
  void jobsThatAreGivenUpCauseNoDuplicates(@ForAll @LongRange(min = 1, max = 1_000_000) long seed)
      throws Exception {
    SimulatedCell cell = cell(seed);
    List<String> others = new ArrayList<>();
    for (int round = 0; round < 5; round++) {
      String faulty = "faulty" + seed + "-" + round;
      cell.submit(faulty, SimulatedJobs.step(4, 5_000, 4_000, round % 2 == 1));
      for (int index = 0; index < 3; index++) {
        String other = "other" + seed + "-" + round + "-" + index;
        cell.submit(other, SimulatedJobs.step(2, 5_000, 1_500, false));
        others.add(other);
      }
      cell.run(200 + cell.random.nextInt(1_500));
      SimulatedWorker cut = cell.workers.get("w" + cell.random.nextInt(WORKERS));
      cut.reachable = cell.random.nextBoolean();
      cell.after(cell.random.nextInt(8_000), () -> cut.reachable = true);
      storeFaults(cell, faulty, FaultHistory.MAX_FAULTS);
      cell.takeOver();
      assertThat(cell.phaseOf(faulty).terminal()).isTrue();
      cell.run(cell.random.nextInt(3_000));
    }
    cell.run(30_000);
    assertThat(cell.violations).isEmpty();
    assertThat(cell.ended.keySet()).containsAll(others);
    cell.workers.values().forEach(worker -> assertThat(worker.runs).isEmpty());
  }
}
