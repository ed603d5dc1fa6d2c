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

/** Guards the requirements on calls over random histories of faults, pauses and restarts. */
class CallServiceTest {

  private static final int PRESENTATION_COUNT = 150;
  private static final long LONG_PAUSE_MILLIS = 800_000;

  private final Map<String, Integer> executionsByBody = new HashMap<>();
  private final List<Presentation> presentations = new ArrayList<>();
  private final List<Run> runs = new ArrayList<>();
  private SimulatedCell cell;

  /** One arrival of a request at an entry instance. */
  private static final class Presentation {
    private CallRequest request;
    private Run run;
    private CallResult result;
    private long endedAtMillis;

    private String body() {
      return new String(request.body());
    }
  }

  /** One run of an instance's process. */
  private static final class Run {
    private SimulatedCell.Process process;
    private SimulatedEndpoints endpoints;
    private int callCount;
  }

  private void simulate(long seed, boolean withPauses) {
    executionsByBody.clear();
    presentations.clear();
    runs.clear();
    cell = new SimulatedCell(seed);
    Run[] current = new Run[SimulatedEndpoints.ENTRY_COUNT];
    for (int index = 0; index < current.length; index++) {
      current[index] = startRun(index);
    }
    long oldestAcceptedIdMillis = cell.chance(0.5) ? 2_000 : 20_000;
    for (int count = 0; count < PRESENTATION_COUNT; count++) {
      int index = cell.random.nextInt(current.length);
      cell.after(cell.random.nextLong(oldestAcceptedIdMillis), () -> present(current[index]));
    }
    for (int count = 0; count < 10; count++) {
      int index = cell.random.nextInt(current.length);
      long atMillis = cell.random.nextLong(oldestAcceptedIdMillis);
      cell.after(atMillis, () -> current[index].endpoints.giveNextList(current[index].process));
      if (withPauses && count < 3) {
        cell.after(atMillis, () -> disturb(current, index, oldestAcceptedIdMillis));
      }
    }
    cell.run();
  }

  private Run startRun(int index) {
    Run run = new Run();
    run.endpoints = new SimulatedEndpoints(cell, executionsByBody);
    run.process = cell.new Process("entry-" + index, run.endpoints);
    run.endpoints.giveNextList(run.process);
    runs.add(run);
    return run;
  }

  /**
   * Crashes or pauses an instance. Only the first one may pause for the whole history; three pauses
   * of the second one take at most three eighths of it. With both paused from the beginning, no
   * call runs and the properties test nothing.
   */
  private void disturb(Run[] current, int index, long oldestAcceptedIdMillis) {
    if (cell.chance(0.3)) {
      current[index].process.crash();
      current[index] = startRun(index);
      return;
    }
    long pauseMillis = cell.chance(0.3) ? LONG_PAUSE_MILLIS : cell.random.nextLong(5_000);
    current[index].process.pause(
        index == 0 ? pauseMillis : Math.min(pauseMillis, oldestAcceptedIdMillis / 8));
  }

  private void present(Run run) {
    Presentation presentation = new Presentation();
    long nowMillis = cell.nowMillis();
    String body = "body-" + presentations.size();
    boolean repeated = !presentations.isEmpty() && cell.chance(0.4);
    CallRequest earlier =
        repeated ? presentations.get(cell.random.nextInt(presentations.size())).request : null;
    presentation.request =
        new CallRequest(
            repeated ? earlier.requestId() : cell.newRequestId(),
            repeated ? earlier.createdAtMillis() : nowMillis,
            "team",
            "s",
            "text/plain",
            body.getBytes(),
            nowMillis + 50 + cell.random.nextLong(3_000),
            repeated ? earlier.repeatable() : cell.chance(0.5));
    presentation.run = run;
    presentations.add(presentation);
    run.callCount++;
    run.process
        .service
        .call(presentation.request)
        .thenAccept(
            result -> {
              presentation.result = result;
              presentation.endedAtMillis = cell.nowMillis();
            });
  }

  private int executions(Presentation presentation) {
    return executionsByBody.getOrDefault(presentation.body(), 0);
  }

  @Property(seed = "7", tries = 300)
  void everyCallerGetsTheAnswerToItsOwnRequest(@ForAll long seed) {
    simulate(seed, true);

    for (Presentation presentation : presentations) {
      if (presentation.result instanceof Answered answered) {
        String body = new String(answered.body());
        boolean sameRequest =
            presentations.stream()
                .filter(other -> other.body().equals(body))
                .anyMatch(
                    other -> other.request.requestId().equals(presentation.request.requestId()));
        boolean own = body.equals(presentation.body());
        assertThat(presentation.request.repeatable() ? own : sameRequest)
            .as("R7: answer %s to %s", body, presentation.request)
            .isTrue();
      }
    }
  }

  @Property(seed = "8", tries = 300)
  void refusalThatSaysNotRunIsTrue(@ForAll long seed) {
    simulate(seed, true);

    for (Presentation presentation : presentations) {
      if (presentation.result instanceof Refused refused && refused.ran() == RunOutcome.NOT_RUN) {
        assertThat(executions(presentation)).as("R8: %s", presentation.request).isZero();
      }
    }
  }

  @Property(seed = "9", tries = 300)
  void callThatIsNotRepeatableRunsAtMostOnce(@ForAll long seed) {
    simulate(seed, true);

    Map<String, Integer> executionsById = new HashMap<>();
    presentations.stream()
        .filter(presentation -> !presentation.request.repeatable())
        .forEach(
            presentation ->
                executionsById.merge(
                    presentation.request.requestId(), executions(presentation), Integer::sum));
    assertThat(executionsById.values()).as("R9").allMatch(count -> count <= 1);
    assertThat(executionsById.values()).as("some calls run").contains(1);
  }

  @Property(seed = "10", tries = 300)
  void attemptsStayWithinTheBudget(@ForAll long seed) {
    simulate(seed, true);

    for (Run run : runs) {
      double bound = run.callCount * (1 + RetryBudget.RETRIES_PER_CALL) + RetryBudget.BURST;
      assertThat((double) run.endpoints.attemptCount).isLessThanOrEqualTo(bound);
    }
  }

  @Property(seed = "11", tries = 300)
  void everyCallEndsByItsDeadline(@ForAll long seed) {
    simulate(seed, false);

    for (Presentation presentation : presentations) {
      assertThat(presentation.result).as("result of %s", presentation.request).isNotNull();
      assertThat(presentation.endedAtMillis)
          .isLessThanOrEqualTo(presentation.request.deadlineAtMillis());
    }
    assertThat(runs).allMatch(run -> run.process.service.inProgressCount() == 0);
  }
}
