package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.cicadaford.model.Resources;

/** Tests that workers whose capacity changes are not given more than they have. */
class CapacityChangeTest {

  private static SimulatedCell cell(int workers) {
    return new SimulatedCell(1, SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE), workers);
  }

  private static long usedMillicores(SimulatedWorker worker) {
    return worker.runs.values().stream()
        .mapToLong(run -> run.reservation.processorsMillicores())
        .sum();
  }

  private static void assertRulesHold(SimulatedCell cell, String... faults) {
    assertThat(FaultScenarios.duplicatesAndOverloads(cell)).isEmpty();
    assertThat(cell.network.counts).containsKeys(faults);
    assertThat(CapacityScenarios.unfinishedJobs(cell)).isEmpty();
  }

  /** Guards against starts by an earlier capacity when answers are lost and orders are late. */
  @Property(tries = 20, seed = "4763")
  void changesBesideLostAnswersCauseNoOverload(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    SimulatedCell cell = CapacityScenarios.lostAnswersAndLateOrders(seed);
    assertRulesHold(cell, "shrunk", "grown", "late start", "second copy");
  }

  /** Guards against starts by an earlier capacity of the next and of a replaced coordinator. */
  @Property(tries = 20, seed = "4751")
  void changesBesideTakeoversCauseNoOverload(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed, @ForAll boolean fencing) {
    assertRulesHold(
        CapacityScenarios.takeovers(seed, fencing), "shrunk", "grown", "order of a predecessor");
  }

  /** Guards against starts that were placed by the capacity before an outage of the store. */
  @Property(tries = 20, seed = "4752")
  void changesBesideStoreOutagesCauseNoOverload(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    assertRulesHold(CapacityScenarios.storeOutages(seed), "shrunk", "grown", "store-down");
  }

  /** Guards against sending all starts of a worker that shrank before they were stored, or none. */
  @Example
  void startsThatFitTheShrunkCapacityAreSent() {
    SimulatedCell cell = cell(1);
    cell.run(1_000);
    cell.storeDown = true;
    cell.submit("unsent", SimulatedJobs.step(4, 4_000, 5_000, false));
    cell.run(100);
    CapacityScenarios.change(cell, "w0", new Resources(9_000, 32_000, 0), 0);
    cell.run(400);
    cell.storeDown = false;
    cell.run(200);
    assertThat(cell.workers.get("w0").runs).hasSize(2);
    assertThat(cell.ordersTo("w0")).isEqualTo(2);
  }

  /** Guards against a start in place of a run that is being stopped but has not ended. */
  @Example
  void runThatIsBeingStoppedCountsWhenAStartIsSent() {
    SimulatedCell cell = cell(1);
    SimulatedWorker worker = cell.workers.get("w0");
    cell.submit("stopping", SimulatedJobs.step(1, 6_000, 20_000, false));
    cell.run(1_000);
    cell.storeDown = true;
    cell.submit("next", SimulatedJobs.step(1, 10_000, 1_000, false));
    cell.run(50);
    CapacityScenarios.change(cell, "w0", new Resources(12_000, 32_000, 0), 0);
    cell.run(400);
    cell.coordinator.cancel("stopping", cell.moment());
    cell.run(30);
    cell.storeDown = false;
    for (int step = 0; step < 200; step++) {
      cell.run(5);
      assertThat(usedMillicores(worker)).isLessThanOrEqualTo(12_000);
    }
    assertThat(worker.runs).containsOnlyKeys("next.0.0.0/2");
  }

  /** Guards against starting a part of a gang whose other members no longer fit. */
  @Example
  void noMemberOfAGangIsSentIfOneNoLongerFits() {
    SimulatedCell cell = cell(2);
    cell.run(1_000);
    cell.storeDown = true;
    cell.submit("gang", SimulatedJobs.step(2, 9_000, 1_000, true));
    cell.run(100);
    CapacityScenarios.change(cell, "w1", new Resources(8_000, 32_000, 0), 0);
    CapacityScenarios.change(cell, "w0", new Resources(8_000, 32_000, 0), 0);
    cell.run(400);
    CapacityScenarios.change(cell, "w0", new Resources(16_000, 32_000, 0), 0);
    cell.run(300);
    cell.storeDown = false;
    cell.run(1_000);
    assertThat(cell.starts).isZero();
  }

  /** Guards against counting the runs of a restarted worker against its earlier capacity. */
  @Property(tries = 20, seed = "4754")
  void restartsAsAnotherKindCauseNoOverload(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    assertRulesHold(CapacityScenarios.restartsAsAnotherKind(seed), "another-kind", "shrunk");
  }

  /** Guards against starts by the capacity of the earlier life, with and without a takeover. */
  @Example
  void placementsOfAnEarlierLifeCountAgainstTheCapacityOfTheNext() {
    for (boolean takeover : new boolean[] {false, true}) {
      for (long millicores : new long[] {8_000, 48_000}) {
        SimulatedCell cell = cell(1);
        String id = "kind" + takeover + millicores;
        cell.submit(id, SimulatedJobs.step(8, 5_000, 2_000, false));
        cell.run(1_000);
        SimulatedWorker worker = cell.workers.get("w0");
        assertThat(worker.runs).hasSize(3);
        worker.crash();
        worker.restart(200, new Resources(millicores, 32_000, 0));
        if (takeover) {
          cell.takeOver();
        }
        cell.run(1_900);
        assertThat(worker.runs).hasSize((int) Math.min(8, millicores / 5_000));
        cell.run(20_000);
        assertThat(cell.coordinator.job(id).orElseThrow().phase()).isEqualTo(JobPhase.COMPLETED);
        assertThat(cell.violations).isEmpty();
      }
    }
  }
}
