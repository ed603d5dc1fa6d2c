package org.cicadaford.entry.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
import org.cicadaford.decision.ApplyResult;
import org.cicadaford.decision.RequestLedger.CallEntry;
import org.cicadaford.decision.call.CallResult;
import org.cicadaford.decision.call.CallResult.Answered;
import org.cicadaford.decision.call.CallResult.Refused;
import org.cicadaford.decision.call.RefusalKind;
import org.cicadaford.model.RequestRecord;
import org.cicadaford.model.RequestRecord.CallClaimed;
import org.cicadaford.model.RequestRecord.CallFinished;
import org.cicadaford.model.RunOutcome;

/** Guards against claims that let a call run twice, and wrong results of duplicate requests. */
class CallClaimerTest {

  private final SimulatedCell cell = new SimulatedCell(1);
  private final Map<String, Integer> executions = new HashMap<>();
  private final SimulatedEndpoints endpoints = new SimulatedEndpoints(cell, executions);
  private final SimulatedCell.Process process = cell.new Process("entry-0", endpoints);
  private final StubAppender appender = new StubAppender();
  private final CallService service =
      new CallService(
          CallSettings.forInstance("entry-0", "z1"), process, appender, endpoints, cell.random);

  /** Keeps the appended records; the test completes the read-back. */
  private static final class StubAppender implements RequestAppender {
    private final List<RequestRecord> records = new ArrayList<>();
    private final CompletableFuture<ReadBack> readBack = new CompletableFuture<>();
    private CallEntry recorded;

    @Override
    public CompletableFuture<ReadBack> append(RequestRecord record) {
      records.add(record);
      return readBack;
    }

    @Override
    public Optional<CallEntry> recordedCall(String requestId) {
      return Optional.ofNullable(recorded);
    }
  }

  private CompletableFuture<CallResult> call(long timeoutMillis) {
    return service.call(
        new CallRequest(
            "id",
            cell.nowMillis(),
            "team",
            "s",
            "text/plain",
            "body".getBytes(),
            cell.nowMillis() + timeoutMillis,
            false));
  }

  private void listEndpoints() {
    endpoints.publishNextList(process);
    service.onMembershipChanged(endpoints.lastList());
  }

  private static CallEntry entry(String team, CallFinished finished) {
    return new CallEntry(3, new CallClaimed("other", "id", team, "entry-1", 0), finished);
  }

  private static CallFinished finished(RunOutcome outcome, boolean bodyKept) {
    return new CallFinished("f", "id", 3, outcome, 200, "text/plain", "ok".getBytes(), bodyKept);
  }

  private CallResult resultForDuplicate(CallEntry recorded) {
    appender.recorded = recorded;
    CompletableFuture<CallResult> result = call(1_000);
    cell.run();
    assertThat(appender.records).isEmpty();
    return result.join();
  }

  @Example
  void callWhoseClaimIsReadBackAfterTheWindowIsNotSent() {
    listEndpoints();
    CompletableFuture<CallResult> result = call(2_000_000);
    cell.scheduleAfter(
        1,
        () -> {
          process.pause(800_000);
          appender.readBack.complete(
              new RequestAppender.ReadBack(0, ApplyResult.ACCEPTED, Optional.empty()));
        });
    cell.run();

    Refused refused = (Refused) result.join();
    assertThat(refused.kind()).isEqualTo(RefusalKind.ID_OUTSIDE_WINDOW);
    assertThat(refused.ran()).isEqualTo(RunOutcome.UNKNOWN);
    assertThat(endpoints.attemptCount).isZero();
  }

  @Example
  void callWhoseClaimCannotBeAppendedIsRefusedAsNotRun() {
    listEndpoints();
    CompletableFuture<CallResult> result = call(60_000);
    appender.readBack.completeExceptionally(new RequestAppendException(false, "down", null));
    cell.run();

    Refused refused = (Refused) result.join();
    assertThat(refused.kind()).isEqualTo(RefusalKind.LOG_UNAVAILABLE);
    assertThat(refused.ran()).isEqualTo(RunOutcome.NOT_RUN);
    assertThat(refused.retryAfterMillis()).isPositive();
  }

  @Example
  void failedClaimOfIdClaimedByAnotherInstanceHasUnknownOutcome() {
    listEndpoints();
    CompletableFuture<CallResult> result = call(60_000);
    cell.scheduleAfter(
        1,
        () -> {
          appender.recorded = entry("team", null);
          appender.readBack.completeExceptionally(new RequestAppendException(false, "down", null));
        });
    cell.run();

    assertThat(((Refused) result.join()).ran()).isEqualTo(RunOutcome.UNKNOWN);
  }

  @Example
  void duplicateGetsTheRecordedOutcomeOrUnknown() {
    Answered answered =
        (Answered) resultForDuplicate(entry("team", finished(RunOutcome.RAN, true)));
    assertThat(new String(answered.body())).isEqualTo("ok");
    assertThat(resultForDuplicate(entry("team", finished(RunOutcome.RAN, false))))
        .isInstanceOfSatisfying(
            Refused.class, refused -> assertThat(refused.ran()).isEqualTo(RunOutcome.RAN));
    for (CallFinished outcome : new CallFinished[] {null, finished(RunOutcome.UNKNOWN, true)}) {
      assertThat(resultForDuplicate(entry("team", outcome)))
          .isInstanceOfSatisfying(
              Refused.class, refused -> assertThat(refused.ran()).isEqualTo(RunOutcome.UNKNOWN));
    }
  }

  @Example
  void duplicateOfAnotherTeamDoesNotGetTheRecordedAnswer() {
    assertThat(resultForDuplicate(entry("rival", finished(RunOutcome.RAN, true))))
        .isInstanceOf(Refused.class);
  }
}
