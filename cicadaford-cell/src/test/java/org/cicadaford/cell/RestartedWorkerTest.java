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
    ReportedEnd end = done(1, start);
    driver.answerEnds(driver.nextRenewal(), end);
    CoordinatorDriver.SentRenewal renewal = driver.nextRenewal();
    assertThat(renewal.order().acknowledgedEnd()).isEqualTo(1);
    driver.fail(renewal);
    CoordinatorDriver.SentRenewal next = driver.nextRenewal();
    assertThat(next.order().acknowledgedEnd()).isZero();
    driver.answerEnds(next, end);
    assertThat(driver.nextRenewal().order().acknowledgedEnd()).isEqualTo(1);
  }

  private static ReportedEnd done(long number, Action.StartTask start) {
    return new ReportedEnd(number, start.task(), start.run(), EndKind.DONE, "");
  }

  /** Guards against a cursor that the next incarnation receives after it was of use. */
  @Example
  void endsThatAreNoLongerListedAreNotAcknowledgedAgain() {
    CoordinatorDriver driver = new CoordinatorDriver();
    driver.submit("ended");
    Action.StartTask start = driver.nextStart();
    driver.answerStart(start, StartOutcome.STARTED);
    driver.answerEnds(driver.nextRenewal(), done(1, start));
    CoordinatorDriver.SentRenewal renewal = driver.nextRenewal();
    assertThat(renewal.order().acknowledgedEnd()).isEqualTo(1);
    driver.answer(renewal, List.of());
    assertThat(driver.nextRenewal().order().acknowledgedEnd()).isZero();
  }

  /**
   * Guards against a cursor that removes the end of a run before it is reported: the start of the
   * run was the first order to the next incarnation, and is not answered yet.
   */
  @Example
  void renewalBesideAStartInTransitAcknowledgesNothing() {
    CoordinatorDriver driver = new CoordinatorDriver();
    driver.submit("ended");
    Action.StartTask ended = driver.nextStart();
    driver.answerStart(ended, StartOutcome.STARTED);
    CoordinatorDriver.SentRenewal renewal = driver.nextRenewal();
    driver.submit("unanswered");
    Action.StartTask unanswered = driver.nextStart();
    driver.advance(30);
    driver.answerEnds(renewal, done(1, ended));
    assertThat(driver.renewals(60)).allMatch(sent -> sent.acknowledgedEnd() == 0);
    driver.answerStart(unanswered, StartOutcome.STARTED);
    assertThat(driver.nextRenewal().order().acknowledgedEnd()).isEqualTo(1);
  }

  /** Guards against ends that are never acknowledged while starts are in transit without a gap. */
  @Example
  void endsAreAcknowledgedBesideARowOfStarts() {
    CoordinatorDriver driver = new CoordinatorDriver();
    driver.submit("ended");
    Action.StartTask ended = driver.nextStart();
    driver.answerStart(ended, StartOutcome.STARTED);
    CoordinatorDriver.SentRenewal renewal = driver.nextRenewal();
    driver.submit("row");
    Action.StartTask inTransit = driver.nextStart();
    driver.answerEnds(renewal, done(1, ended));
    for (int index = 0; index < 12; index++) {
      driver.advance(50);
      driver.submit("row" + index);
      driver.answerStart(inTransit, StartOutcome.STARTED);
      inTransit = driver.nextStart();
    }
    assertThat(driver.renewals(0)).anyMatch(sent -> sent.acknowledgedEnd() == 1);
  }

  /** Guards against a restart that stays unnoticed because a report overtakes the answer. */
  @Example
  void lowerClockIsNoticedAfterAReportOfTheEarlierIncarnation() {
    CoordinatorDriver driver = new CoordinatorDriver();
    driver.advance(500);
    CoordinatorDriver.SentRenewal renewal = driver.nextRenewal();
    driver.submit("restarted");
    Action.StartTask start = driver.nextStart();
    driver.advance(5);
    driver.answer(renewal, List.of());
    int tokenOffset = driver.tokenOffset();
    driver.answerStart(start, StartOutcome.STARTED, 1);
    assertThat(driver.nextImmediateRenewal().order().acknowledgedEnd()).isZero();
    assertThat(driver.tokenOffset()).isGreaterThan(tokenOffset);
    driver.submit("waiting");
    assertThat(driver.starts(50)).isEmpty();
  }

  /** Guards against a doubt because an answer was on its way for longer than a later report. */
  @Example
  void clockOfAnAnswerThatAReportHasOvertakenIsNoRestart() {
    CoordinatorDriver driver = new CoordinatorDriver();
    driver.advance(500);
    CoordinatorDriver.SentRenewal renewal = driver.nextRenewal();
    driver.submit("overtaken");
    Action.StartTask start = driver.nextStart();
    long clockMillis = driver.now().monotonicMillis();
    driver.advance(20);
    driver.answer(renewal, List.of());
    int tokenOffset = driver.tokenOffset();
    driver.answerStart(start, StartOutcome.STARTED, clockMillis);
    assertThat(driver.tokenOffset()).isEqualTo(tokenOffset);
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
    driver.answerEnds(driver.nextRenewal(), done(1, first));
    driver.advance(300);
    driver.storing = true;
    CoordinatorDriver.SentRenewal late = driver.nextRenewal();
    assertThat(late.order().acknowledgedEnd()).isZero();
    driver.storing = false;
    driver.answerEnds(late, done(1, first), done(2, second));
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
