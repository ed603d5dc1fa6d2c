package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;

/** Tests which instances make calls for advice, and how failed calls are handled. */
class AdviceDispatcherTest {

  private static final AdvicePolicy SHORT = new AdvicePolicy(20, 1, 2_500);
  private static final AdvicePolicy LONG = new AdvicePolicy(400, 5, 2_500);

  private final CellState state = new CellState(CoordinatorSettings.forPlatform(6_000, 60_000));
  private final AdviceDispatcher dispatcher = new AdviceDispatcher(state);
  private final Worker worker = new Worker("w", 1);

  private StepRun step(String jobId) {
    Queue queue = new Queue("q", "h", "/q", "svc", 0, 4, 2, 250, 3_000, false, SHORT);
    state.config(new CellConfig(1, List.of(queue), List.of()));
    JobSpec spec =
        new JobSpec("payload", List.of(SimulatedJobs.step(1, 1_000, 300, false)), 0, 0, 0);
    Job job = new Job(new JobDefinition(jobId, queue, "t", "z", 0, false, spec));
    StepRun step = job.beginOccurrence(0).getFirst();
    state.enqueueIfPlaceable(step);
    state.waiting().takeDue(StepOrder.at(0));
    return step;
  }

  private String calledInstance() {
    Action.RequestAdvice ask = (Action.RequestAdvice) state.actions().getLast();
    return ask.callerId();
  }

  /**
   * Guards against steps that wait for the call of an unreachable instance: the call fails and is
   * repeated by another instance.
   */
  @Example
  void callOfRemovedInstanceFailsImmediately() {
    dispatcher.callersChanged(Set.of("e1", "e2", "e3"), 0);
    StepRun step = step("j1");
    assertThat(dispatcher.requestAdvice(step, LONG, List.of(worker), 0)).isTrue();
    String first = calledInstance();
    Set<String> others =
        Set.copyOf(List.of("e1", "e2", "e3").stream().filter(id -> !id.equals(first)).toList());
    dispatcher.callersChanged(others, 100);
    assertThat(step.adviceInFlight()).isFalse();
    assertThat(state.waiting().anyDue()).isTrue();
    assertThat(dispatcher.requestAdvice(step, SHORT, List.of(worker), 200)).isTrue();
    assertThat(others).contains(calledInstance());
  }

  /**
   * Guards against calls that time out just before their answers arrive. After a restart of all
   * processes every call did, and the instances were then paused for 0.5 s.
   */
  @Example
  void slowInstancesGetLongerTimeouts() {
    dispatcher.callersChanged(Set.of("e1"), 0);
    long nowMillis = 0;
    assertThat(timeoutMarginOfNextCall(nowMillis)).isGreaterThanOrEqualTo(300);
    for (int call = 0; call < 40; call++) {
      nowMillis += 1_000;
      timeoutMarginOfNextCall(nowMillis);
      long callId = ((Action.RequestAdvice) state.actions().getLast()).callId();
      dispatcher.callAnswered(callId, Map.of("w", "t"), 2_500, nowMillis + SHORT.callMillis(1));
    }
    assertThat(timeoutMarginOfNextCall(nowMillis + 1_000)).isLessThan(210);
  }

  /** Makes a call and returns the margin of its timeout over its expected duration. */
  private long timeoutMarginOfNextCall(long nowMillis) {
    assertThat(
            dispatcher.requestAdvice(step("call" + nowMillis), SHORT, List.of(worker), nowMillis))
        .isTrue();
    Action.RequestAdvice ask = (Action.RequestAdvice) state.actions().getLast();
    return ask.timeoutMillis() - SHORT.callMillis(1);
  }

  /** Guards against an instance that fails its calls and still gets the next one. */
  @Example
  void failedInstanceIsPaused() {
    dispatcher.callersChanged(Set.of("e1", "e2"), 0);
    dispatcher.requestAdvice(step("j1"), SHORT, List.of(worker), 0);
    String first = calledInstance();
    dispatcher.callFailed(((Action.RequestAdvice) state.actions().getLast()).callId(), 10);
    for (int call = 0; call < 3; call++) {
      StepRun step = step("j2" + call);
      assertThat(dispatcher.requestAdvice(step, SHORT, List.of(worker), 40 * (call + 1))).isTrue();
      assertThat(calledInstance()).isNotEqualTo(first);
      long callId = ((Action.RequestAdvice) state.actions().getLast()).callId();
      dispatcher.callAnswered(callId, Map.of("w", "t"), 2_500, 40 * (call + 1) + 21);
    }
  }

  /** Guards against short calls that queue behind long ones on all instances. */
  @Example
  void someInstancesAreReservedForShortCalls() {
    dispatcher.callersChanged(Set.of("e1", "e2", "e3"), 0);
    assertThat(dispatcher.requestAdvice(step("l1"), LONG, List.of(worker), 0)).isTrue();
    assertThat(dispatcher.requestAdvice(step("l2"), LONG, List.of(worker), 0)).isTrue();
    assertThat(dispatcher.requestAdvice(step("l3"), LONG, List.of(worker), 0)).isFalse();
    assertThat(dispatcher.requestAdvice(step("s1"), SHORT, List.of(worker), 0)).isTrue();
  }

  /** Guards against a permitted share that stays at its initial value. */
  @Example
  void permittedShareIsUpdatedFromAnswers() {
    dispatcher.callersChanged(Set.of("e1"), 0);
    dispatcher.requestAdvice(step("j1"), SHORT, List.of(worker, new Worker("v", 1)), 0);
    long callId = ((Action.RequestAdvice) state.actions().getLast()).callId();
    assertThat(dispatcher.permittedShare("q")).isEqualTo(0.5);
    dispatcher.callAnswered(callId, Map.of(), 2_500, 30);
    assertThat(dispatcher.permittedShare("q")).isLessThan(0.1);
  }
}
