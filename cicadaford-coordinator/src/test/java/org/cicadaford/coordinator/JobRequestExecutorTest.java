package org.cicadaford.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
import org.cicadaford.cell.CellConfig;
import org.cicadaford.cell.JobSpec;
import org.cicadaford.cell.StepSpec;
import org.cicadaford.cell.Submitter;
import org.cicadaford.model.RecordCodec;
import org.cicadaford.wire.PeerMessage;

/** Tests requests on jobs that are being stored, or that have not arrived yet. */
class JobRequestExecutorTest extends CoordinatorServiceHarness {

  private static final String JOB = "00000000000000a1";
  private static final Submitter SUBMITTER = new Submitter("t", "z");

  private final CoordinatorService service = service();

  private CompletableFuture<CellReply> submit() {
    return service.requests().submit(JOB, QUEUE, SUBMITTER, SPEC);
  }

  private CompletableFuture<CellReply> cancel() {
    return service.requests().cancel(JOB, "q", "t");
  }

  private CompletableFuture<CellReply> phase() {
    return service.requests().jobPhase(JOB, "q", "t", 0);
  }

  private void storePending() {
    storing = true;
    while (!appends.isEmpty()) {
      appends.poll().outcome().complete(AppendOutcome.STORED);
      advanceTime(100);
    }
    advanceTime(500);
  }

  /** Guards against a job that runs after its cancellation was answered, as it was being stored. */
  @Example
  void cancellationOfAJobThatIsBeingStoredCancelsIt() {
    advanceTime(200);
    storing = false;
    CompletableFuture<CellReply> submitted = submit();
    advanceTime(100);
    CompletableFuture<CellReply> cancelled = cancel();
    advanceTime(100);
    assertThat(cancelled).as("the cancellation is not stored").isNotDone();
    storePending();
    assertThat(cancelled.join().outcome()).isEqualTo(CellOutcome.DONE);
    assertThat(submitted.join().outcome()).isEqualTo(CellOutcome.DONE);
    assertThat(phase().join().value()).isEqualTo("CANCELLED");
    assertThat(starts).isEmpty();
  }

  /** Guards against a job that runs after its caller was told that there is no such job. */
  @Example
  void submissionThatItsCancellationHasOvertakenIsCancelled() {
    advanceTime(200);
    CompletableFuture<CellReply> cancelled = cancel();
    advanceTime(100);
    assertThat(cancelled.join().outcome()).isEqualTo(CellOutcome.NO_SUCH_JOB);
    assertThat(phase().join().outcome())
        .as("nobody has submitted it")
        .isEqualTo(CellOutcome.NO_SUCH_JOB);
    CompletableFuture<CellReply> submitted = submit();
    advanceTime(1_000);
    assertThat(submitted.join().outcome()).isEqualTo(CellOutcome.DONE);
    assertThat(phase().join().value()).isEqualTo("CANCELLED");
    assertThat(starts).isEmpty();
  }

  /** Guards against a cancellation that is answered and lost with its coordinator. */
  @Example
  void cancellationOfAnUnknownJobIsAnsweredOnceItIsStored() {
    advanceTime(200);
    storing = false;
    CompletableFuture<CellReply> cancelled = cancel();
    advanceTime(300);
    assertThat(cancelled).isNotDone();
    service.stop();
    assertThat(cancelled.join().outcome()).isEqualTo(CellOutcome.UNKNOWN);
  }

  /**
   * Guards against a cancellation that is answered when another team's of the same id is stored.
   */
  @Example
  void cancellationsOfTwoTeamsAreAnsweredOnceEachIsStored() {
    advanceTime(200);
    storing = false;
    CompletableFuture<CellReply> first = cancel();
    advanceTime(100);
    CompletableFuture<CellReply> second = service.requests().cancel(JOB, "q", "other");
    appends.poll().outcome().complete(AppendOutcome.STORED);
    advanceTime(10);
    assertThat(first.join().outcome()).isEqualTo(CellOutcome.NO_SUCH_JOB);
    assertThat(second).as("its record is not stored").isNotDone();
    storePending();
    assertThat(second.join().outcome()).isEqualTo(CellOutcome.NO_SUCH_JOB);
  }

  /** Guards against telling the caller of a job that will run that there is no such job. */
  @Example
  void phaseOfAJobThatIsBeingStoredIsToldOnceItIsStored() {
    advanceTime(200);
    storing = false;
    submit();
    CompletableFuture<CellReply> phase = phase();
    advanceTime(100);
    assertThat(phase).isNotDone();
    assertThat(service.requests().jobPhase(JOB, "other", "t", 0).join().outcome())
        .isEqualTo(CellOutcome.NO_SUCH_JOB);
    storePending();
    assertThat(phase.join().outcome()).isEqualTo(CellOutcome.DONE);
  }

  /** Guards against a team that cancels the jobs of another one. */
  @Example
  void cancellationByAnotherTeamLeavesTheJob() {
    advanceTime(200);
    service.requests().cancel(JOB, "q", "other");
    submit();
    advanceTime(500);
    assertThat(service.requests().cancel(JOB, "q", "other").join().outcome())
        .isEqualTo(CellOutcome.NO_SUCH_JOB);
    advanceTime(500);
    assertThat(starts).hasSize(1);
  }

  /**
   * Guards against callers that are told that a job runs while its end is being stored, and learn
   * of the end only when they ask again.
   */
  @Example
  void phaseOfARunningJobIsToldWhenItsEndIsStored() {
    advanceTime(200);
    submit();
    advanceTime(500);
    CompletableFuture<CellReply> phase = service.requests().jobPhase(JOB, "q", "t", 100);
    advanceTime(50);
    assertThat(phase).as("the job runs").isNotDone();
    cancel();
    advanceTime(30);
    assertThat(phase.join().value()).isEqualTo("CANCELLED");
  }

  /** Guards against answers on a running job that are delayed without bound. */
  @Example
  void phaseOfARunningJobIsToldAfterTheWait() {
    advanceTime(200);
    submit();
    advanceTime(500);
    CompletableFuture<CellReply> phase = service.requests().jobPhase(JOB, "q", "t", 100);
    advanceTime(95);
    assertThat(phase).isNotDone();
    advanceTime(10);
    assertThat(phase.join().value()).isEqualTo("RUNNING");
  }

  /** Guards against refusing the repeated submission of a job that an earlier build has stored. */
  @Example
  void sizeOfAKnownJobIsNotChecked() {
    ConfigHolder config = new ConfigHolder();
    CellConfig cell = new CellConfig(1, List.of(QUEUE), List.of());
    config.update(new CellDirectory.PublishedConfig(cell, Set.of()), now());
    CoordinatorRequestHandler handler = new CoordinatorRequestHandler(config);
    StepSpec step = SPEC.steps().get(0);
    StepSpec large =
        new StepSpec(
            1,
            step.demand(),
            500,
            List.of(),
            false,
            false,
            false,
            "x".repeat(260_000),
            "",
            0,
            false,
            false,
            "",
            0,
            false,
            0);
    byte[] spec = RecordCodec.encode(new JobSpec("payload", List.of(large), 0, 0, 0));
    PeerMessage message = new PeerMessage.SubmitJob(JOB, "q", "t", spec);
    advanceTime(200);
    assertThat(handler.handle(service, "z", message).join().outcome())
        .isEqualTo(CellOutcome.INVALID);
    submit();
    advanceTime(500);
    assertThat(handler.handle(service, "z", message).join().outcome()).isEqualTo(CellOutcome.DONE);
  }

  /** Guards against an answer that comes after the caller's time-out, which its wait bounds. */
  @Example
  void furtherDelayIsBoundedByTheWait() {
    advanceTime(200);
    submit();
    advanceTime(500);
    storing = false;
    cancel();
    CompletableFuture<CellReply> phase = service.requests().jobPhase(JOB, "q", "t", 20);
    advanceTime(70);
    assertThat(phase).as("the end is being stored").isNotDone();
    advanceTime(20);
    assertThat(phase.join().value()).isEqualTo("RUNNING");
  }

  /** Guards against answers that are held back while the store does not store the end of a job. */
  @Example
  void phaseIsToldWhenTheEndCannotBeStored() {
    advanceTime(200);
    submit();
    advanceTime(500);
    storing = false;
    cancel();
    CompletableFuture<CellReply> phase = service.requests().jobPhase(JOB, "q", "t", 100);
    advanceTime(390);
    assertThat(phase).as("the end is being stored").isNotDone();
    advanceTime(20);
    assertThat(phase.join().value()).isEqualTo("RUNNING");
    storePending();
    assertThat(phase().join().value()).isEqualTo("CANCELLED");
  }
}
