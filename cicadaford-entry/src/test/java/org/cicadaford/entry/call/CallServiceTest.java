package org.cicadaford.entry.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cicadaford.decision.call.CallResult;
import org.cicadaford.decision.call.CallResult.Answered;
import org.cicadaford.decision.call.CallResult.Refused;
import org.cicadaford.decision.call.RetryBudget;
import org.cicadaford.model.RunOutcome;

/** Checks the requirements on calls under random sequences of faults, pauses and restarts. */
class CallServiceTest {

  private static final int SUBMISSION_COUNT = 150;
  private static final long LONG_PAUSE_MILLIS = 800_000;

  private final Map<String, Integer> executionsByBody = new HashMap<>();
  private final List<Submission> submissions = new ArrayList<>();
  private final List<ProcessRun> runs = new ArrayList<>();
  private SimulatedCell cell;

  /** One submission of a request to an entry instance. */
  private static final class Submission {
    private CallRequest request;
    private ProcessRun run;
    private CallResult result;
    private long endedAtMillis;

    private String body() {
      return new String(request.body());
    }
  }

  /** One process lifetime of an instance. */
  private static final class ProcessRun {
    private SimulatedCell.Process process;
    private SimulatedEndpoints endpoints;
    private int callCount;
  }

  private void simulate(long seed, boolean withPauses) {
    executionsByBody.clear();
    submissions.clear();
    runs.clear();
    cell = new SimulatedCell(seed);
    ProcessRun[] current = new ProcessRun[SimulatedEndpoints.ENTRY_COUNT];
    for (int index = 0; index < current.length; index++) {
      current[index] = startRun(index);
    }
    long horizonMillis = cell.chance(0.5) ? 2_000 : 20_000;
    for (int count = 0; count < SUBMISSION_COUNT; count++) {
      int index = cell.random.nextInt(current.length);
      cell.scheduleAfter(cell.random.nextLong(horizonMillis), () -> submit(current[index]));
    }
    for (int count = 0; count < 10; count++) {
      int index = cell.random.nextInt(current.length);
      long atMillis = cell.random.nextLong(horizonMillis);
      cell.scheduleAfter(
          atMillis, () -> current[index].endpoints.publishNextList(current[index].process));
      if (withPauses && count < 3) {
        cell.scheduleAfter(atMillis, () -> injectFault(current, index, horizonMillis));
      }
    }
    cell.run();
  }

  private ProcessRun startRun(int index) {
    ProcessRun run = new ProcessRun();
    run.endpoints = new SimulatedEndpoints(cell, executionsByBody);
    run.process = cell.new Process("entry-" + index, run.endpoints);
    run.endpoints.publishNextList(run.process);
    runs.add(run);
    return run;
  }

  /**
   * Crashes or pauses an instance. Only the first one may pause for the whole simulation; the
   * pauses of the second one cover at most three eighths of it. If both were paused from the start,
   * no call would run and the properties would hold trivially.
   */
  private void injectFault(ProcessRun[] current, int index, long horizonMillis) {
    if (cell.chance(0.3)) {
      current[index].process.crash();
      current[index] = startRun(index);
      return;
    }
    long pauseMillis = cell.chance(0.3) ? LONG_PAUSE_MILLIS : cell.random.nextLong(5_000);
    current[index].process.pause(
        index == 0 ? pauseMillis : Math.min(pauseMillis, horizonMillis / 8));
  }

  private void submit(ProcessRun run) {
    Submission submission = new Submission();
    long nowMillis = cell.nowMillis();
    String body = "body-" + submissions.size();
    boolean duplicate = !submissions.isEmpty() && cell.chance(0.4);
    CallRequest earlier =
        duplicate ? submissions.get(cell.random.nextInt(submissions.size())).request : null;
    submission.request =
        new CallRequest(
            duplicate ? earlier.requestId() : cell.newRequestId(),
            duplicate ? earlier.createdAtMillis() : nowMillis,
            "team",
            "s",
            "text/plain",
            body.getBytes(),
            nowMillis + 50 + cell.random.nextLong(3_000),
            duplicate ? earlier.repeatable() : cell.chance(0.5));
    submission.run = run;
    submissions.add(submission);
    run.callCount++;
    run.process
        .service
        .call(submission.request)
        .thenAccept(
            result -> {
              submission.result = result;
              submission.endedAtMillis = cell.nowMillis();
            });
  }

  private int executions(Submission submission) {
    return executionsByBody.getOrDefault(submission.body(), 0);
  }

  @Property(seed = "7", tries = 300)
  void everyCallerGetsTheAnswerToItsOwnRequest(@ForAll long seed) {
    simulate(seed, true);

    for (Submission submission : submissions) {
      if (submission.result instanceof Answered answered) {
        String body = new String(answered.body());
        boolean sameRequest =
            submissions.stream()
                .filter(other -> other.body().equals(body))
                .anyMatch(
                    other -> other.request.requestId().equals(submission.request.requestId()));
        boolean own = body.equals(submission.body());
        assertThat(submission.request.repeatable() ? own : sameRequest)
            .as("answer %s to %s", body, submission.request)
            .isTrue();
      }
    }
  }

  @Property(seed = "8", tries = 300)
  void callRefusedAsNotRunWasNotExecuted(@ForAll long seed) {
    simulate(seed, true);

    for (Submission submission : submissions) {
      if (submission.result instanceof Refused refused && refused.ran() == RunOutcome.NOT_RUN) {
        assertThat(executions(submission)).as("executions of %s", submission.request).isZero();
      }
    }
  }

  @Property(seed = "9", tries = 300)
  void callThatIsNotRepeatableRunsAtMostOnce(@ForAll long seed) {
    simulate(seed, true);

    Map<String, Integer> executionsById = new HashMap<>();
    submissions.stream()
        .filter(submission -> !submission.request.repeatable())
        .forEach(
            submission ->
                executionsById.merge(
                    submission.request.requestId(), executions(submission), Integer::sum));
    assertThat(executionsById.values()).as("R9").allMatch(count -> count <= 1);
    assertThat(executionsById.values()).as("some calls run").contains(1);
  }

  @Property(seed = "10", tries = 300)
  void attemptsStayWithinTheBudget(@ForAll long seed) {
    simulate(seed, true);

    for (ProcessRun run : runs) {
      double bound = run.callCount * (1 + RetryBudget.RETRIES_PER_CALL) + RetryBudget.BURST;
      assertThat((double) run.endpoints.attemptCount).isLessThanOrEqualTo(bound);
    }
  }

  @Property(seed = "11", tries = 300)
  void everyCallEndsByItsDeadline(@ForAll long seed) {
    simulate(seed, false);

    for (Submission submission : submissions) {
      assertThat(submission.result).as("result of %s", submission.request).isNotNull();
      assertThat(submission.endedAtMillis)
          .isLessThanOrEqualTo(submission.request.deadlineAtMillis());
    }
    assertThat(runs).allMatch(run -> run.process.service.inProgressCount() == 0);
  }
}
