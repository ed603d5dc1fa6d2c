package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.cicadaford.model.Resources;

/** Tests that no start is based on a worker list that is too old. */
class WorkerListAgeTest {

  private static final String DECISION = "cell";

  private static SimulatedCell cell(int workers) {
    return new SimulatedCell(1, SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE), workers);
  }

  /** Guards against starts by capacities that are no longer read from the store. */
  @Property(tries = 20, seed = "4753")
  void changesWhileTheListCannotBeReadCauseNoOverload(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    SimulatedCell cell = CapacityScenarios.unreadableLists(seed);
    assertThat(FaultScenarios.duplicatesAndOverloads(cell)).isEmpty();
    assertThat(cell.network.counts).containsKeys("shrunk", "grown", "list-unreadable");
    assertThat(CapacityScenarios.unfinishedJobs(cell)).isEmpty();
  }

  /** Guards against starts by an old list, a missing report of it, and stopped running work. */
  @Example
  void nothingIsPlacedByAnOldListAndRunningWorkGoesOn() {
    SimulatedCell cell = cell(1);
    cell.submit("running", SimulatedJobs.step(1, 4_000, 8_000, false));
    cell.run(500);
    cell.listUnreadable = true;
    cell.run(2_100);
    cell.submit("waiting", SimulatedJobs.step(1, 4_000, 300, false));
    cell.run(7_000);
    assertThat(cell.starts).isEqualTo(1);
    assertThat(cell.coordinator.job("running").orElseThrow().phase()).isEqualTo(JobPhase.COMPLETED);
    assertThat(cell.traces.get(DECISION)).singleElement().asString().endsWith(" outdated");
    assertThat(cell.traces.get("waiting.0.0"))
        .isNotEmpty()
        .allMatch(report -> report.contains("list_current=false list_age_ms="));
    cell.listUnreadable = false;
    cell.run(310);
    assertThat(cell.starts).isEqualTo(2);
    assertThat(cell.traces.get(DECISION)).hasSize(2).last().asString().endsWith(" current");
  }

  /** Guards against sending a start that was placed before the list became too old. */
  @Example
  void startThatWasStoredLateIsNotSentByAnOldList() {
    SimulatedCell cell = cell(1);
    cell.run(500);
    cell.listUnreadable = true;
    cell.storeDown = true;
    cell.submit("stored-late", SimulatedJobs.step(1, 4_000, 300, false));
    cell.run(3_000);
    cell.storeDown = false;
    cell.run(1_000);
    assertThat(cell.ordersTo("w0")).isZero();
    cell.listUnreadable = false;
    cell.run(1_000);
    assertThat(cell.starts).isEqualTo(1);
  }

  /** Guards against placing by restored workers before the new coordinator has read a list. */
  @Example
  void nothingIsPlacedAfterATakeoverBeforeTheFirstList() {
    SimulatedCell cell = cell(1);
    cell.submit("lasting", SimulatedJobs.step(1, 4_000, 20_000, false));
    cell.run(500);
    cell.listUnreadable = true;
    cell.takeOver();
    cell.submit("next", SimulatedJobs.step(1, 4_000, 300, false));
    cell.run(2_500);
    assertThat(cell.starts).isEqualTo(1);
    assertThat(cell.traces.get(DECISION)).singleElement().asString().endsWith(" outdated");
    cell.listUnreadable = false;
    cell.run(1_500);
    assertThat(cell.starts).isEqualTo(2);
    assertThat(cell.violations).isEmpty();
  }

  /** Guards against an order that is carried out long after the list that it is based on. */
  @Example
  void startIsVoidSoonAfterItsListIsTooOld() {
    CoordinatorDriver driver = new CoordinatorDriver();
    driver.advance(200);
    long listedAtMillis = driver.now().monotonicMillis();
    driver.listing = false;
    driver.advance(800);
    driver.answer(driver.nextRenewal(), List.of());
    driver.advance(900);
    driver.submit("late");
    long deadlineMillis = driver.nextStart().deadlineMillis();
    assertThat(deadlineMillis)
        .isGreaterThan(driver.now().monotonicMillis() + 300)
        .isLessThanOrEqualTo(listedAtMillis + WorkerListAge.MAX_START_MILLIS);
  }

  /** Guards against taking a list whose answer was late for a recent one. */
  @Example
  void ageOfTheListCountsFromItsRequest() {
    CoordinatorDriver driver = new CoordinatorDriver();
    driver.listing = false;
    driver.answer(driver.nextRenewal(), List.of());
    ClockReading requestedAt = driver.now();
    driver.advance(2_100);
    driver.answer(driver.nextRenewal(), List.of());
    driver.list(requestedAt);
    driver.submit("late-list");
    assertThat(driver.starts(100)).isEmpty();
    driver.list(driver.now());
    assertThat(driver.starts(100)).hasSize(1);
  }
}
