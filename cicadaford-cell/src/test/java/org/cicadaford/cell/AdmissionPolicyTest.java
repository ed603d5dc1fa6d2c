package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.model.Resources;

/** Tests the admission of jobs when a team submits more work than fits. */
class AdmissionPolicyTest {

  private static final long WORK_MILLIS = 600;
  private static final long OBJECTIVE_MILLIS = Math.round(1.5 * WORK_MILLIS) + 250;
  private static final Queue QUEUE =
      new Queue("q", "h", "/q/", "svc", 0, 4, 1.5, 250, 3_000, false, AdvicePolicy.NONE);

  /** Returns a cell with a team limited to 8 of 32 cores and a team without a limit. */
  private static SimulatedCell cell(long seed) {
    CellConfig config =
        new CellConfig(
            1,
            List.of(QUEUE),
            List.of(
                new TeamShare("team", Set.of(), 8, new Resources(8_000, 0, 0)),
                new TeamShare("other", Set.of(), 0, Resources.NONE)));
    SimulatedCell cell = new SimulatedCell(seed, config, 2);
    cell.run(500);
    return cell;
  }

  private static AdmissionDecision submit(SimulatedCell cell, String id, String team) {
    return cell.coordinator.submit(
        id, QUEUE, new Submitter(team, "zone-0"), SimulatedJobs.specOf(id), cell.moment());
  }

  private static String job(String id) {
    SimulatedJobs.job(id, SimulatedJobs.step(1, 1_000, WORK_MILLIS, false));
    return id;
  }

  /**
   * Guards against accepting work that cannot start while its result is useful, and against
   * refusing callers again when they retry at the given time. The team submits three times what its
   * limit allows for 3 s, a fifth of it within its share.
   */
  @Property(tries = 5, seed = "4841")
  void refusedCallersAreServedWhenTheyRetry(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    SimulatedCell cell = cell(seed);
    TreeMap<Long, List<String>> arrivals = new TreeMap<>();
    int jobs = 120;
    for (int index = 0; index < jobs; index++) {
      String id = job("hot" + seed + "-" + index);
      arrivals.put(cell.nowMillis + 25L * index, List.of(id));
    }
    Map<String, Integer> refusals = new HashMap<>();
    long endMillis = cell.nowMillis + 40_000;
    while (cell.nowMillis < endMillis) {
      while (!arrivals.isEmpty() && arrivals.firstKey() <= cell.nowMillis) {
        for (String id : arrivals.pollFirstEntry().getValue()) {
          if (submit(cell, id, "team") instanceof AdmissionDecision.Refused refused) {
            refusals.merge(id, 1, Integer::sum);
            assertThat(refused.retryAfterMillis()).isBetween(1_000L, 20_000L);
            long backAt = cell.nowMillis + refused.retryAfterMillis();
            arrivals.merge(backAt, List.of(id), AdmissionPolicyTest::both);
          }
        }
      }
      cell.run(5);
    }
    assertThat(cell.violations).isEmpty();
    assertThat(refusals).isNotEmpty();
    assertThat(cell.ended).hasSize(jobs);
    assertThat(cell.ended.values())
        .allSatisfy(age -> assertThat(age).isLessThan(3 * OBJECTIVE_MILLIS));
    long refusedAgain = refusals.values().stream().filter(count -> count > 1).count();
    assertThat(refusedAgain).isZero();
  }

  private static List<String> both(List<String> one, List<String> other) {
    return Stream.concat(one.stream(), other.stream()).toList();
  }

  /** Guards against refusing a team because of the backlog of another one. */
  @Example
  void backlogOfATeamDoesNotRefuseOthers() {
    SimulatedCell cell = cell(3);
    int refused = 0;
    for (int index = 0; index < 200; index++) {
      String id = job("hog" + index);
      refused += submit(cell, id, "team") instanceof AdmissionDecision.Refused ? 1 : 0;
      cell.run(5);
    }
    assertThat(refused).isGreaterThan(50);
    assertThat(submit(cell, job("calm"), "other")).isInstanceOf(AdmissionDecision.Storing.class);
    cell.run(2_000);
    assertThat(cell.ended.get("calm")).isLessThan(OBJECTIVE_MILLIS);
  }

  /** Returns the cell after a takeover with records that do not tell which jobs have begun. */
  private static SimulatedCell takenOverWithoutStarts(int jobs) throws Exception {
    SimulatedCell cell =
        new SimulatedCell(5, SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE), 10);
    cell.run(500);
    for (int index = 0; index < jobs; index++) {
      cell.submit("long" + index, SimulatedJobs.longRunningStep(1, 1));
      if (index % 100 == 0) {
        cell.run(100);
      }
    }
    cell.run(1_000);
    assertThat(cell.coordinator.pendingCount("q")).isZero();
    for (Map.Entry<String, byte[]> stored : cell.store.entrySet()) {
      if (stored.getKey().startsWith(JobRecordFactory.PROGRESS_PREFIX)) {
        JobProgress progress = RecordCodec.decode(stored.getValue(), JobProgress.class);
        stored.setValue(
            RecordCodec.encode(
                new JobProgress(
                    progress.queue(),
                    progress.team(),
                    progress.phase(),
                    progress.endedAtMillis(),
                    progress.workers(),
                    progress.doneOccurrences(),
                    progress.occurrences(),
                    false)));
      }
    }
    cell.takeOver();
    return cell;
  }

  /**
   * Guards against refusals after a takeover because running jobs, whose records do not tell that
   * they have begun, use up the room for pending ones.
   */
  @Example
  void runningJobsOfUnknownStartDoNotRefuseOthers() throws Exception {
    SimulatedCell cell = takenOverWithoutStarts(AdmissionPolicy.MAX_PENDING_JOBS);
    assertThat(cell.coordinator.pendingCount("q")).isEqualTo(AdmissionPolicy.MAX_PENDING_JOBS);
    assertThat(submit(cell, job("next"), "team")).isInstanceOf(AdmissionDecision.Storing.class);
    cell.run(1_000);
    assertThat(cell.coordinator.pendingCount("q")).isZero();
  }

  /** Guards against refusing work that only waits briefly. */
  @Example
  void workThatCanStartInTimeIsAccepted() {
    SimulatedCell cell = cell(4);
    for (int index = 0; index < 12; index++) {
      assertThat(submit(cell, job("few" + index), "team"))
          .isInstanceOf(AdmissionDecision.Storing.class);
      cell.run(5);
    }
  }
}
