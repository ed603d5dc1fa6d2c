package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.cicadaford.cell.CoordinatorDriver.SentRenewal;
import org.cicadaford.model.Resources;

/**
 * Tests what follows when another worker answers at the address of a worker. The worker was not
 * there when the answer was given; the answer says nothing of what was ordered afterwards.
 */
class RefusedRenewalTest {

  private final CoordinatorDriver driver = new CoordinatorDriver();

  private Action.StartTask order(String jobId) {
    driver.submit(jobId);
    return driver.nextStart();
  }

  /** Guards against giving up a run that was confirmed while the refusal was on its way. */
  @Example
  void runConfirmedAfterTheRequestIsNotGivenUp() {
    SentRenewal renewal = driver.nextRenewal();
    driver.answerStart(order("confirmed"), StartOutcome.STARTED);
    driver.refuse(renewal);
    assertThat(driver.starts(50)).isEmpty();
    assertThat(driver.takeReleased(ReleaseReason.REPLACED)).isEmpty();
  }

  /** Guards against giving up a start that was ordered while the refusal was on its way. */
  @Example
  void startOrderedAfterTheRequestIsNotGivenUp() {
    SentRenewal renewal = driver.nextRenewal();
    Action.StartTask start = order("ordered");
    driver.refuse(renewal);
    assertThat(driver.starts(50)).isEmpty();
    driver.answerStart(start, StartOutcome.STARTED);
    assertThat(driver.starts(500)).isEmpty();
    assertThat(driver.takeReleased(ReleaseReason.REPLACED)).isEmpty();
  }

  /** Guards against giving up an unanswered start that was ordered after the request. */
  @Example
  void uncertainStartOrderedAfterTheRequestIsNotGivenUp() {
    SentRenewal renewal = driver.nextRenewal();
    driver.answerStart(order("uncertain"), StartOutcome.UNKNOWN);
    driver.refuse(renewal);
    assertThat(driver.starts(50)).isEmpty();
    assertThat(driver.takeReleased(ReleaseReason.REPLACED)).isEmpty();
  }

  /** Guards against keeping runs on a worker that another one has replaced. */
  @Example
  void runsBeforeTheRequestAreGivenUp() {
    SentRenewal early = driver.nextRenewal();
    Action.StartTask running = order("running");
    driver.answerStart(running, StartOutcome.STARTED);
    Action.StartTask uncertain = order("unanswered");
    driver.answerStart(uncertain, StartOutcome.UNKNOWN);
    driver.refuse(early);
    driver.refuse(driver.nextRenewal());
    driver.advance(5);
    // Both starts are suspected to have crashed the worker, so their next ones follow in turn.
    assertThat(driver.takeReleased(ReleaseReason.REPLACED))
        .containsExactlyInAnyOrder(running.task(), uncertain.task());
    assertThat(driver.starts(0)).isEmpty();
    driver.answer(driver.nextRenewal(), List.of());
    assertThat(driver.starts(100)).hasSize(1);
  }

  /**
   * Guards against the crash of a suspected task that is not counted: a relay that was slow reports
   * the failed connection of a renewal after the time in which a start is survived.
   */
  @Example
  void lateFailureOfARenewalDoesNotHideTheNextCrashOfASuspectedTask() {
    driver.answerStart(order("suspected"), StartOutcome.STARTED);
    driver.refuse(driver.nextRenewal());
    driver.answer(driver.nextRenewal(), List.of());
    driver.advance(5);
    Action.StartTask second = driver.nextStart();
    driver.answerStart(second, StartOutcome.STARTED);
    driver.answer(
        driver.nextRenewal(), List.of(new ReportedRun(second.task(), second.run(), "", 10, 0)));
    SentRenewal late = driver.nextRenewal();
    driver.advance(180);
    driver.fail(late);
    driver.refuse(driver.nextRenewal());
    driver.advance(5);
    assertThat(driver.inputsOf("crash")).last().asString().contains("start_losses=2");
  }

  /** Guards against a refusal at an address that the worker has left and taken again since. */
  @Example
  void refusalFromBeforeAChangeOfTheAddressEndsNoRuns() {
    Action.StartTask start = order("moved");
    driver.answerStart(start, StartOutcome.STARTED);
    SentRenewal renewal = driver.nextRenewal();
    driver.list(CoordinatorDriver.FIRST_INCARNATION, "w0:2");
    driver.list(CoordinatorDriver.FIRST_INCARNATION);
    driver.refuse(renewal);
    assertThat(driver.starts(50)).isEmpty();
    assertThat(driver.takeReleased(ReleaseReason.REPLACED)).isEmpty();
  }

  /** Guards against ending the runs of the worker that answers at an address listed twice. */
  @Example
  void refusalsAtAnAddressListedTwiceEndOnlyTheRunsOfTheOther() {
    SimulatedCell cell =
        new SimulatedCell(1, SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE), 2);
    cell.submit("sharedaddress", SimulatedJobs.step(2, 9_000, 4_000, false));
    cell.run(500);
    SimulatedWorker other = cell.workers.get("w1");
    other.crash();
    other.address = cell.workers.get("w0").address;
    other.restart(200);
    cell.run(15_000);
    assertThat(cell.network.countOf("renewal to another id")).isPositive();
    assertThat(cell.violations).isEmpty();
    assertThat(cell.starts).isEqualTo(3);
    assertThat(cell.coordinator.job("sharedaddress").orElseThrow().phase())
        .isEqualTo(JobPhase.COMPLETED);
  }
}
