package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import org.cicadaford.model.Resources;

/** Tests that jobs count as pending until a task of them has started. */
class PendingJobCounterTest {

  private static final int JOBS = 6;

  private final SimulatedCell cell =
      new SimulatedCell(1, SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE), 2);

  private void submit(String prefix) {
    cell.run(500);
    submitNow(prefix);
  }

  private void submitNow(String prefix) {
    for (int index = 0; index < JOBS; index++) {
      cell.submit(prefix + index, SimulatedJobs.step(2, 1_000, 5_000, false));
    }
  }

  /** Guards against jobs whose starts are refused and that the count leaves out. */
  @Example
  void jobsWhoseStartsAreRefusedArePending() {
    cell.workers.values().forEach(worker -> worker.refusing = true);
    submit("refused");
    cell.run(3_000);
    assertThat(cell.workers.values()).allMatch(worker -> cell.ordersTo(worker.id) > 0);
    assertThat(cell.coordinator.pendingCount("q")).isEqualTo(JOBS);
    cell.takeOver();
    assertThat(cell.coordinator.pendingCount("q")).as("restored").isEqualTo(JOBS);
    cell.workers.values().forEach(worker -> worker.refusing = false);
    cell.run(4_000);
    assertThat(cell.coordinator.pendingCount("q")).as("started").isZero();
  }

  /** Guards against a job that counts again when its runs are lost, or after it has ended. */
  @Example
  void jobsThatHaveBegunAreNotPending() {
    submit("begun");
    cell.run(1_000);
    assertThat(cell.coordinator.pendingCount("q")).isZero();
    cell.takeOver();
    assertThat(cell.coordinator.pendingCount("q")).as("restored").isZero();
    cell.workers.values().forEach(SimulatedWorker::crash);
    cell.run(15_000);
    assertThat(cell.coordinator.pendingCount("q")).as("lost").isZero();
    assertThat(cell.coordinator.cancel("begun0", cell.moment())).isTrue();
    cell.run(1_000);
    assertThat(cell.coordinator.pendingCount("q")).as("ended").isZero();
  }

  private void setReachable(boolean reachable) {
    cell.workers.values().forEach(worker -> worker.reachable = reachable);
  }

  /**
   * Guards against jobs that a successor takes for begun because they are placed, although their
   * worker never received a start, and against jobs that it takes for begun as their starts are
   * lost.
   */
  @Example
  void jobsPlacedOnASilentWorkerArePendingAfterATakeover() {
    cell.run(500);
    setReachable(false);
    submitNow("unplaced");
    cell.run(300);
    assertThat(cell.workers.values()).anyMatch(worker -> cell.ordersTo(worker.id) > 0);
    cell.takeOver();
    assertThat(cell.coordinator.pendingCount("q")).as("placed").isEqualTo(JOBS);
    cell.run(3_000);
    cell.takeOver();
    assertThat(cell.coordinator.pendingCount("q")).as("taken over twice").isEqualTo(JOBS);
    cell.run(20_000);
    assertThat(cell.coordinator.pendingCount("q")).as("starts lost").isEqualTo(JOBS);
    cell.takeOver();
    assertThat(cell.coordinator.pendingCount("q")).as("lost starts restored").isEqualTo(JOBS);
    setReachable(true);
    cell.run(6_000);
    assertThat(cell.starts).isPositive();
    assertThat(cell.coordinator.pendingCount("q")).as("started").isZero();
  }

  /** Guards against running jobs that count as pending since their worker went silent. */
  @Example
  void begunJobsOfASilentWorkerAreNotPendingAfterATakeover() {
    submit("silent");
    cell.run(1_000);
    setReachable(false);
    for (int takeover = 0; takeover < 2; takeover++) {
      cell.takeOver();
      assertThat(cell.coordinator.pendingCount("q")).as("restored").isZero();
      cell.run(2_000);
      assertThat(cell.coordinator.pendingCount("q")).as("still silent").isZero();
    }
  }

  /** Guards against jobs that stay pending if their start was confirmed right before a takeover. */
  @Example
  void startsThatWereNotStoredCountOnceTheirWorkersReport() {
    submit("unstored");
    cell.run(60);
    assertThat(cell.coordinator.pendingCount("q")).as("confirmed").isZero();
    cell.takeOver();
    cell.run(500);
    assertThat(cell.coordinator.pendingCount("q")).as("reported").isZero();
  }
}
