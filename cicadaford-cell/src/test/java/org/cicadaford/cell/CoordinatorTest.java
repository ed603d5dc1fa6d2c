package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.cicadaford.model.Resources;

/** Tests the coordinator in simulated runs with worker faults, store outages and takeovers. */
class CoordinatorTest {

  private static final int JOBS = 30;

  private static SimulatedCell cell(long seed, int workers) {
    return new SimulatedCell(
        seed, SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE), workers);
  }

  private static List<String> submitMix(SimulatedCell cell, String prefix, int count) {
    List<String> ids = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      String id = prefix + index;
      long work = 200 + cell.random.nextInt(1_500);
      JobSpec spec =
          switch (index % 3) {
            case 0 ->
                SimulatedJobs.job(
                    id,
                    SimulatedJobs.step(3, 2_000, work, false),
                    SimulatedJobs.step(2, 1_000, 300, false, 0));
            case 1 -> SimulatedJobs.job(id, SimulatedJobs.step(3, 6_000, work, true));
            default -> SimulatedJobs.job(id, SimulatedJobs.step(2, 3_000, work, false));
          };
      cell.submit(id, "team", spec);
      ids.add(id);
      cell.run(20 + cell.random.nextInt(60));
    }
    return ids;
  }

  private static void assertAllEnd(SimulatedCell cell, List<String> ids) {
    for (String id : ids) {
      assertThat(cell.coordinator.job(id).map(JobView::phase))
          .describedAs(id)
          .hasValueSatisfying(phase -> assertThat(phase.terminal()).isTrue());
    }
  }

  /** Guards against lost jobs and exceeded limits in the absence of faults. */
  @Example
  void allJobsCompleteWithoutFaults() {
    SimulatedCell cell = cell(1, 4);
    List<String> ids = submitMix(cell, "calm", JOBS);
    cell.run(20_000);
    assertThat(cell.violations).isEmpty();
    ids.forEach(
        id ->
            assertThat(cell.coordinator.job(id).orElseThrow().phase())
                .isEqualTo(JobPhase.COMPLETED));
  }

  /** Guards against duplicate runs and overloaded workers when orders are lost or late. */
  @Property(tries = 25, seed = "4711")
  void rulesHoldWhenOrdersAreLostOrLate(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    SimulatedCell cell = cell(seed, 4);
    cell.faults = new SimulatedCell.Faults(0.08, 0.08, 0.05);
    List<String> ids = submitMix(cell, "late" + seed + "-", JOBS);
    cell.run(40_000);
    assertThat(cell.violations).isEmpty();
    assertAllEnd(cell, ids);
    assertThat(cell.starts).isGreaterThan(JOBS);
  }

  /** Guards against duplicate runs and lost jobs when workers crash, return or are unreachable. */
  @Property(tries = 25, seed = "4712")
  void rulesHoldWhenWorkersCrashOrAreCutOff(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    SimulatedCell cell = cell(seed, 5);
    cell.faults = new SimulatedCell.Faults(0.03, 0.03, 0.02);
    List<String> ids = new ArrayList<>();
    long incarnation = 1_000;
    for (int round = 0; round < 5; round++) {
      ids.addAll(submitMix(cell, "crash" + seed + "-" + round + "-", 6));
      SimulatedWorker hit = cell.workers.get("w" + cell.random.nextInt(5));
      SimulatedWorker cut = cell.workers.get("w" + cell.random.nextInt(5));
      hit.crash();
      cut.reachable = false;
      cell.run(500 + cell.random.nextInt(8_000));
      hit.restart(incarnation++);
      cut.reachable = true;
      cell.run(500);
    }
    cell.run(40_000);
    assertThat(cell.violations).isEmpty();
    assertAllEnd(cell, ids);
  }

  /** Guards against duplicate runs and lost jobs when the coordinator is replaced at any time. */
  @Property(tries = 25, seed = "4713")
  void rulesHoldOverTakeovers(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    SimulatedCell cell = cell(seed, 4);
    cell.faults = new SimulatedCell.Faults(0.03, 0.05, 0.02);
    List<String> ids = new ArrayList<>();
    for (int round = 0; round < 6; round++) {
      ids.addAll(submitMix(cell, "over" + seed + "-" + round + "-", 5));
      cell.run(100);
      SimulatedWorker cut = cell.workers.get("w" + cell.random.nextInt(4));
      cut.reachable = cell.random.nextBoolean();
      cell.takeOver();
      cell.run(cell.random.nextInt(2_000));
      cut.reachable = true;
    }
    cell.run(40_000);
    assertThat(cell.violations).isEmpty();
    List<String> stored = ids.stream().filter(cell.accepted::containsKey).toList();
    assertAllEnd(cell, stored);
    assertThat(stored).isNotEmpty();
  }

  /** Guards against starts of a job long after its cancellation was confirmed. */
  @Example
  void cancelledJobIsStopped() {
    SimulatedCell cell = cell(7, 2);
    cell.submit("cancel", SimulatedJobs.step(8, 4_000, 4_000, false));
    cell.run(500);
    assertThat(cell.coordinator.cancel("cancel", cell.moment())).isTrue();
    cell.run(1_500);
    assertThat(cell.cancelled).containsKey("cancel");
    assertThat(cell.workers.values()).allSatisfy(worker -> assertThat(worker.runs).isEmpty());
    assertThat(cell.coordinator.job("cancel").orElseThrow().phase()).isEqualTo(JobPhase.CANCELLED);
  }

  /**
   * Guards against runs of a cancelled job that continue after a takeover: a stop of a restored run
   * counted as answered before it was sent, so a lost stop order was never repeated.
   */
  @Example
  void cancelledRunIsStoppedAfterATakeoverOnceItsWorkerIsReachable() {
    SimulatedCell cell = cell(21, 2);
    cell.submit("lasting", SimulatedJobs.longRunningStep(3, 1_000));
    cell.run(500);
    cell.takeOver();
    cell.run(500);
    cell.workers.values().forEach(worker -> worker.reachable = false);
    assertThat(cell.coordinator.cancel("lasting", cell.moment())).isTrue();
    cell.run(1_000);
    assertThat(cell.workers.values()).anySatisfy(worker -> assertThat(worker.runs).isNotEmpty());
    cell.workers.values().forEach(worker -> worker.reachable = true);
    cell.run(1_500);
    assertThat(cell.workers.values()).allSatisfy(worker -> assertThat(worker.runs).isEmpty());
  }

  /**
   * Guards against runs that continue when the coordinator is replaced between storing a
   * cancellation and sending the stops: the difference to the unset time of the first stop
   * overflowed.
   */
  @Example
  void cancelledRunIsStoppedByTheNextCoordinator() {
    SimulatedCell cell = cell(22, 2);
    cell.submit("lasting2", SimulatedJobs.longRunningStep(3, 1_000));
    cell.run(500);
    cell.workers.values().forEach(worker -> worker.reachable = false);
    assertThat(cell.coordinator.cancel("lasting2", cell.moment())).isTrue();
    cell.run(100);
    cell.takeOver();
    cell.workers.values().forEach(worker -> worker.reachable = true);
    cell.run(1_500);
    assertThat(cell.workers.values()).allSatisfy(worker -> assertThat(worker.runs).isEmpty());
  }

  /**
   * Guards against duplicate runs when workers without epoch checks carry out a start of the
   * earlier coordinator after they have reported to its successor.
   */
  @Property(tries = 25, seed = "4714")
  void rulesHoldOverTakeoversWithoutFencing(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    SimulatedCell cell = cell(seed, 4);
    cell.workers.values().forEach(worker -> worker.fencing = false);
    cell.faults = new SimulatedCell.Faults(0.05, 0.1, 0.02);
    cell.lateOrderMillis = 900;
    List<String> ids = new ArrayList<>();
    for (int round = 0; round < 8; round++) {
      ids.addAll(submitMix(cell, "unfenced" + seed + "-" + round + "-", 5));
      cell.takeOver();
      cell.run(cell.random.nextInt(1_000));
    }
    cell.run(40_000);
    assertThat(cell.violations).isEmpty();
    assertAllEnd(cell, ids.stream().filter(cell.accepted::containsKey).toList());
  }

  /**
   * Guards against an exception in the coordinator when the members of a gang in a recurring job
   * are reported one by one: the end of the first one had removed the steps.
   */
  @Example
  void gangOfRecurringJobEndsOnce() {
    SimulatedCell cell = cell(23, 3);
    JobSpec spec =
        SimulatedJobs.recurringJob(
            "timed", 2, cell.moment().unixMillis(), SimulatedJobs.step(3, 9_000, 300, true));
    cell.submit("timed", "team", spec);
    cell.run(4_000);
    assertThat(cell.coordinator.job("timed").orElseThrow().phase()).isEqualTo(JobPhase.COMPLETED);
    assertThat(cell.violations).isEmpty();
  }

  /**
   * Guards against tasks that wait forever for a worker that never answers: each renewal attempt
   * moved the end of the lease.
   */
  @Example
  void taskOfLostWorkerRunsElsewhereAfterItsLeaseHasExpired() {
    SimulatedCell cell = cell(16, 3);
    cell.submit("gone1", SimulatedJobs.step(6, 7_000, 3_000, false));
    cell.run(500);
    SimulatedWorker gone = cell.workers.get("w0");
    assertThat(gone.runs).isNotEmpty();
    gone.crash();
    cell.run(SimulatedWorker.MAX_LEASE_MILLIS + 5_000);
    assertThat(cell.violations).isEmpty();
    assertThat(cell.coordinator.job("gone1").orElseThrow().phase()).isEqualTo(JobPhase.COMPLETED);
  }

  /**
   * Guards against urgent tasks that wait seconds for an unanswered order. Half of the orders are
   * carried out late here.
   */
  @Example
  void unansweredOrdersCauseLittleDelay() {
    SimulatedCell cell = cell(17, 6);
    cell.faults = new SimulatedCell.Faults(0, 0.5, 0);
    List<String> ids = new ArrayList<>();
    for (int index = 0; index < 20; index++) {
      String id = "urgent" + index;
      cell.submit(id, SimulatedJobs.step(2, 1_000, 300, false));
      ids.add(id);
      cell.run(100);
    }
    cell.run(12_000);
    assertThat(cell.violations).isEmpty();
    assertThat(cell.ended.keySet()).containsAll(ids);
    long inTime = cell.ended.values().stream().filter(age -> age < 2_500).count();
    assertThat(inTime).isGreaterThanOrEqualTo(16);
  }

  /** Guards against a step that waits forever because a call for advice permitted no worker. */
  @Example
  void emptyAdviceIsRequestedAgain() {
    SimulatedCell cell =
        new SimulatedCell(
            18, SimulatedJobs.config(Resources.NONE, new AdvicePolicy(20, 1, 2_500)), 3);
    cell.emptyAdvice = 2;
    cell.submit("advised", SimulatedJobs.step(2, 1_000, 300, false));
    cell.run(6_000);
    assertThat(cell.coordinator.job("advised").orElseThrow().phase()).isEqualTo(JobPhase.COMPLETED);
  }

  /**
   * Guards against a wide gang whose first tickets expire before enough workers are known because
   * each call names as few as for a single task.
   */
  @Example
  void wideGangIsPlacedAfterTwoAdviceCalls() {
    AdvicePolicy advice = new AdvicePolicy(400, 5.8, 2_500);
    SimulatedCell cell = new SimulatedCell(24, SimulatedJobs.config(Resources.NONE, advice), 260);
    cell.permittedShare = 0.35;
    cell.submit("wide", SimulatedJobs.step(75, 7_500, 1_000, true));
    cell.run(2 * advice.callMillis(SimulatedJobs.MAX_ADVISED_WORKERS) + 150);
    assertThat(cell.starts).isEqualTo(75);
  }

  /**
   * Guards against urgent tasks that wait 250 ms after each takeover: the first attempt came before
   * the workers had reported, and nothing triggered a retry.
   */
  @Example
  void adviceIsRequestedAsSoonAsWorkersHaveReported() {
    AdvicePolicy advice = new AdvicePolicy(20, 0.3, 2_500);
    SimulatedCell cell = new SimulatedCell(26, SimulatedJobs.config(Resources.NONE, advice), 40);
    cell.submit("first", SimulatedJobs.step(2, 1_000, 300, false));
    cell.run(20 + advice.callMillis(30) + 60);
    assertThat(cell.starts).isEqualTo(2);
  }

  /**
   * Guards against a step that waits forever because the renewal of its tickets names more workers
   * than the service accepts.
   */
  @Example
  void callsForAdviceNameAtMostAHundredWorkers() {
    SimulatedCell cell =
        new SimulatedCell(
            25, SimulatedJobs.config(Resources.NONE, new AdvicePolicy(20, 0.3, 800)), 300);
    cell.submit("many", SimulatedJobs.step(900, 15_000, 4_000, false));
    cell.run(20_000);
    assertThat(cell.coordinator.job("many").orElseThrow().phase()).isEqualTo(JobPhase.COMPLETED);
  }

  /**
   * Guards against a task that waits forever because all workers have failed others: a task that
   * had failed was not placed on workers with consecutive failures, even idle ones.
   */
  @Example
  void taskThatHasFailedRunsAgainOnWorkersThatHaveFailedOthers() {
    SimulatedCell cell = cell(19, 2);
    cell.faults = new SimulatedCell.Faults(0, 0, 1);
    for (int index = 0; index < 8; index++) {
      String id = "bad" + index;
      cell.submit(id, SimulatedJobs.step(1, 1_000, 100, false));
      cell.run(60);
    }
    cell.run(60_000);
    assertThat(cell.ended).hasSize(8);
    assertThat(cell.violations).isEmpty();
  }

  /** Guards against a team that exceeds its limit. */
  @Example
  void teamStaysWithinItsLimit() {
    SimulatedCell cell =
        new SimulatedCell(
            9, SimulatedJobs.config(new Resources(6_000, 0, 0), AdvicePolicy.NONE), 3);
    cell.submit("limited", SimulatedJobs.step(9, 2_000, 600, false));
    for (int round = 0; round < 100; round++) {
      cell.run(50);
      int running = cell.workers.values().stream().mapToInt(worker -> worker.runs.size()).sum();
      assertThat(running).isLessThanOrEqualTo(3);
    }
    assertThat(cell.coordinator.job("limited").orElseThrow().phase()).isEqualTo(JobPhase.COMPLETED);
  }

  /** Guards against accepting a submission twice when the first answer is lost. */
  @Example
  void repeatedSubmissionIsOneJob() {
    SimulatedCell cell = cell(11, 2);
    cell.submit("same", SimulatedJobs.step(1, 1_000, 300, false));
    cell.submit("same", "team", SimulatedJobs.specOf("same"));
    cell.run(2_000);
    cell.submit("same", "team", SimulatedJobs.specOf("same"));
    cell.run(2_000);
    assertThat(cell.starts).isEqualTo(1);
  }

  /**
   * Guards against showing a job as completed before that is stored, while the store is
   * unavailable.
   */
  @Example
  void completionIsShownOnlyOnceItIsStored() {
    SimulatedCell cell = cell(13, 2);
    cell.submit("shown", SimulatedJobs.step(1, 1_000, 300, false));
    cell.run(150);
    cell.storeDown = true;
    cell.run(2_000);
    assertThat(cell.coordinator.job("shown").orElseThrow().phase()).isEqualTo(JobPhase.RUNNING);
    cell.storeDown = false;
    cell.run(500);
    assertThat(cell.coordinator.job("shown").orElseThrow().phase()).isEqualTo(JobPhase.COMPLETED);
  }
}
