package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;

/** Tests orders to a worker that may have restarted under its id. */
class RestartedWorkerTest {

  /** Guards against a cursor that a worker receives after a restart behind a failed renewal. */
  @Example
  void renewalAfterAFailedOneAcknowledgesNothing() {
    CoordinatorDriver driver = new CoordinatorDriver();
    driver.submit("ended");
    Action.StartTask start = driver.nextStart();
    driver.answerStart(start, StartOutcome.STARTED);
    driver.answerEnd(driver.nextRenewal(), new ReportedEnd(1, start.task(), 1, EndKind.DONE, ""));
    CoordinatorDriver.SentRenewal renewal = driver.nextRenewal();
    assertThat(renewal.order().acknowledgedEnd()).isEqualTo(1);
    driver.fail(renewal);
    CoordinatorDriver.SentRenewal next = driver.nextRenewal();
    assertThat(next.order().acknowledgedEnd()).isZero();
    driver.answer(next, List.of());
    assertThat(driver.nextRenewal().order().acknowledgedEnd()).isEqualTo(1);
  }

  /** Guards against ends that are never acknowledged while the store is slow and tasks end. */
  @Example
  void endsAreAcknowledgedWhileLaterOnesAreUnstored() {
    CoordinatorDriver driver = new CoordinatorDriver();
    driver.submit("first");
    Action.StartTask first = driver.nextStart();
    driver.answerStart(first, StartOutcome.STARTED);
    driver.submit("second");
    Action.StartTask second = driver.nextStart();
    driver.answerStart(second, StartOutcome.STARTED);
    driver.storing = false;
    driver.answerEnd(driver.nextRenewal(), new ReportedEnd(1, first.task(), 1, EndKind.DONE, ""));
    driver.advance(300);
    driver.storing = true;
    CoordinatorDriver.SentRenewal late = driver.nextRenewal();
    assertThat(late.order().acknowledgedEnd()).isZero();
    driver.storing = false;
    driver.answerEnd(late, new ReportedEnd(2, second.task(), 1, EndKind.DONE, ""));
    assertThat(driver.nextRenewal().order().acknowledgedEnd()).isEqualTo(1);
  }

  /** Guards against a doubt that lasts as long as a delayed renewal in transit. */
  @Example
  void failedRenewalIsFollowedByAnotherBesideADelayedOne() {
    CoordinatorDriver driver = new CoordinatorDriver();
    driver.advance(50);
    driver.submit("unanswered");
    Action.StartTask start = driver.nextStart();
    CoordinatorDriver.SentRenewal immediate = driver.nextImmediateRenewal();
    driver.answerStart(start, StartOutcome.STARTED);
    driver.fail(immediate);
    driver.nextImmediateRenewal();
  }

  /** Guards against a flood of calls when a zone is cut off whose connections are refused. */
  @Example
  void workersThatAreLostTogetherAreContactedInTurn() {
    CellState state = new CellState(CoordinatorSettings.forPlatform(6_000, 60_000));
    EarlierOrderGuard guard = new EarlierOrderGuard(state);
    Map<Worker, Integer> contacts = new HashMap<>();
    for (int index = 0; index < 80; index++) {
      Worker worker = WorkerKindTest.worker(state, "w" + index, "a");
      worker.earlierOrders().recordStart("task" + index, 1, 1_000, 12_000);
      worker.renewalFailed();
      guard.renewalFailed(worker, false);
      worker.renewalSent(1_000, 1_000);
      worker.renewalFinished();
      contacts.put(worker, 0);
    }
    for (long nowMillis = 1_001; nowMillis <= 2_000; nowMillis++) {
      guard.probe(nowMillis);
      for (Worker worker : contacts.keySet()) {
        if (worker.immediateReportRequested()) {
          worker.renewalSent(nowMillis, nowMillis);
          worker.renewalFinished();
          contacts.merge(worker, 1, Integer::sum);
        }
      }
    }
    assertThat(contacts.values()).allMatch(count -> count >= 9 && count <= 10);
  }

  /** Guards against a start on the next incarnation before its first answer is handled. */
  @Example
  void workerWithAnUnansweredStartGetsNoOtherUntilItAnswers() {
    CoordinatorDriver driver = new CoordinatorDriver();
    driver.submit("unanswered");
    Action.StartTask start = driver.nextStart();
    CoordinatorDriver.SentRenewal renewal = driver.nextImmediateRenewal();
    driver.submit("waiting");
    assertThat(renewal.order().acknowledgedEnd()).isZero();
    assertThat(driver.starts(0)).isEmpty();
    List<ReportedRun> running = List.of(new ReportedRun(start.task(), start.run(), "", 10, 0));
    driver.answer(renewal, running);
    assertThat(driver.starts(50)).hasSize(1);
  }

  /** Guards against starts on a worker whose answer shows that its clock has started anew. */
  @Example
  void startAnsweredWithALowerClockIsFollowedByAReport() {
    CoordinatorDriver driver = new CoordinatorDriver();
    driver.advance(500);
    driver.submit("restarted");
    Action.StartTask start = driver.nextStart();
    driver.answerStart(start, StartOutcome.STARTED, 1);
    driver.nextImmediateRenewal();
    driver.submit("waiting");
    assertThat(driver.starts(50)).isEmpty();
  }
}
