package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.cicadaford.model.Resources;

/** Tests that faults of orders, workers and coordinators cause no duplicate runs or overloads. */
class CoordinatorFaultTest {

  private static void assertRulesHold(SimulatedCell cell, String... faults) {
    assertThat(FaultScenarios.duplicatesAndOverloads(cell)).isEmpty();
    assertThat(cell.network.counts).containsKeys(faults);
  }

  private static SimulatedCell cell(int workers) {
    return new SimulatedCell(1, SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE), workers);
  }

  /** Guards against runs that outlive the lease that the coordinator counts. */
  @Property(tries = 20, seed = "4730")
  void lateRenewalsCauseNoDuplicates(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    assertRulesHold(FaultScenarios.lateOrdersAndCutOffs(seed), "late renewal");
  }

  /** Guards against a run that a relay starts after its task was placed again. */
  @Property(tries = 20, seed = "4731")
  void secondCopiesCauseNoDuplicates(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    assertRulesHold(FaultScenarios.secondCopies(seed, 0), "second copy", "relayed start STARTED");
  }

  /** Guards against a refusal through a relay that hides the run of the direct copy. */
  @Property(tries = 20, seed = "4732")
  void refusedSecondCopiesCauseNoDuplicates(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    assertRulesHold(FaultScenarios.secondCopies(seed, 0.1), "second copy", "refused start");
  }

  /** Guards against a run that the new life of a worker starts for an order to its earlier one. */
  @Property(tries = 20, seed = "4733")
  void restartsWithOrdersToTheEarlierLifeCauseNoDuplicates(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    assertRulesHold(FaultScenarios.restartsUnderTheSameId(seed, true), "restart");
  }

  /** Guards against duplicate runs when a worker that restarted refuses earlier orders. */
  @Property(tries = 20, seed = "4734")
  void restartsCauseNoDuplicates(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    assertRulesHold(FaultScenarios.restartsUnderTheSameId(seed, false), "restart");
  }

  /** Guards against runs that are forgotten while their worker is not listed. */
  @Property(tries = 20, seed = "4735")
  void relistedWorkersCauseNoDuplicates(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    assertRulesHold(FaultScenarios.relistedWorkers(seed), "unlisted");
  }

  /** Guards against decisions on a report that is older than the last one. */
  @Property(tries = 20, seed = "4736")
  void overtakingReportsCauseNoDuplicates(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    assertRulesHold(FaultScenarios.overtakingReports(seed), "delayed report");
  }

  /** Guards against orders of a replaced coordinator. */
  @Property(tries = 20, seed = "4737")
  void predecessorsCauseNoDuplicates(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed, @ForAll boolean fencing) {
    assertRulesHold(
        FaultScenarios.predecessorStillSending(seed, fencing), "order of a predecessor");
  }

  /** Guards against runs that are taken as lost when another worker has an earlier address. */
  @Property(tries = 50, seed = "4738")
  void reusedAddressesCauseNoDuplicates(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    assertRulesHold(FaultScenarios.reusedAddresses(seed), "moved");
  }

  /** Guards against duplicate runs when these faults occur together. */
  @Property(tries = 20, seed = "4739")
  void combinedFaultsCauseNoDuplicates(@ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    assertRulesHold(FaultScenarios.combinedFaults(seed), "late renewal", "second copy");
  }

  /** Guards against giving up a run that was started by the life that the next list shows. */
  @Example
  void runStartedBeforeItsRestartedWorkerIsListedGoesOn() {
    SimulatedCell cell = cell(1);
    cell.run(1_105);
    cell.workers.get("w0").crash();
    cell.workers.get("w0").restart(200);
    cell.submit("restarted", SimulatedJobs.step(1, 1_000, 2_000, false));
    cell.run(6_000);
    assertThat(FaultScenarios.duplicatesAndOverloads(cell)).isEmpty();
    assertThat(cell.starts).isEqualTo(1);
  }

  /** Guards against a late start by the new life of a worker after its stop by the earlier one. */
  @Example
  void lateStartAfterARestartCausesNoDuplicate() {
    SimulatedCell cell = cell(1);
    cell.network.earlierLifeOrders = true;
    cell.lateOrderMillis = 2_000;
    cell.run(10_000);
    cell.faults = new SimulatedCell.Faults(0, 1, 0);
    cell.submit("latestart", SimulatedJobs.step(1, 9_000, 4_000, false));
    cell.run(60);
    cell.faults = SimulatedCell.Faults.NONE;
    cell.run(140);
    cell.workers.get("w0").crash();
    cell.workers.get("w0").restart(200);
    cell.run(10_000);
    assertThat(cell.network.countOf("start to an earlier life")).isEqualTo(1);
    assertThat(FaultScenarios.duplicatesAndOverloads(cell)).isEmpty();
  }

  /**
   * Guards against a renewal to an earlier life that removes the ends of the new one before they
   * are reported, so that a completed task is run again.
   */
  @Property(tries = 20, seed = "4740")
  void lateRenewalToAnEarlierLifeRemovesNoEnds(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    SimulatedCell cell =
        new SimulatedCell(seed, SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE), 1);
    SimulatedWorker worker = cell.workers.get("w0");
    cell.network.earlierLifeOrders = true;
    cell.submit("first" + seed, SimulatedJobs.step(1, 9_000, 300, false));
    cell.run(1_000);
    cell.network.lateRenewal = 1;
    cell.run(1_800);
    cell.network.lateRenewal = 0;
    worker.crash();
    worker.restart(200);
    cell.run(900);
    cell.submit("second" + seed, SimulatedJobs.step(1, 9_000, 1_000, false));
    cell.run(500);
    assertThat(cell.starts).isEqualTo(2);
    worker.reachable = false;
    cell.run(4_000);
    worker.reachable = true;
    cell.run(12_000);
    assertThat(cell.violations).isEmpty();
    assertThat(cell.starts).isEqualTo(2);
  }

  /** Guards against giving up the runs of a new life for an answer from its earlier address. */
  @Example
  void refusalAtAnEarlierAddressEndsNoRunOfTheNewLife() {
    SimulatedCell cell = cell(1);
    cell.run(1_000);
    SimulatedWorker worker = cell.workers.get("w0");
    worker.crash();
    worker.address = "w0:2";
    worker.restart(200);
    cell.run(2_500);
    cell.submit("moved", SimulatedJobs.step(1, 9_000, 3_000, false));
    cell.run(100);
    assertThat(worker.runs).hasSize(1);
    Action.Renew earlier = new Action.Renew("w0", 100, "w0:1", 0, 0, 0, 600);
    cell.coordinator.renewalFailed(
        earlier, true, cell.coordinator.lastEventNumber(), cell.moment());
    cell.run(1_000);
    assertThat(FaultScenarios.duplicatesAndOverloads(cell)).isEmpty();
  }

  /** Guards against giving up a run because a report lists another run of its task after it. */
  @Example
  void reportWithTwoRunsOfATaskKeepsTheCurrentOne() {
    SimulatedCell cell = cell(1);
    cell.submit("tworows", SimulatedJobs.step(1, 9_000, 4_000, false));
    cell.run(500);
    WorkerReport report = cell.workers.get("w0").report(cell.nowMillis);
    List<ReportedRun> rows = new ArrayList<>(report.running());
    rows.add(new ReportedRun("tworows.0.0.0", 0, "", 0, 0));
    cell.coordinator.reportReceived(
        new WorkerReport(
            report.workerId(),
            report.incarnation(),
            report.clockMillis(),
            report.sentAtMillis(),
            rows,
            report.ended(),
            true),
        cell.coordinator.lastEventNumber(),
        cell.moment());
    cell.run(1_000);
    assertThat(FaultScenarios.duplicatesAndOverloads(cell)).isEmpty();
    assertThat(cell.starts).isEqualTo(1);
  }
}
