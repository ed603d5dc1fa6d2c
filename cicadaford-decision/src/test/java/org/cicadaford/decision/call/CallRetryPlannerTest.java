package org.cicadaford.decision.call;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.apache.commons.rng.simple.RandomSource;
import org.cicadaford.decision.call.CallRetryPlanner.Step;
import org.cicadaford.model.RunOutcome;

/**
 * Guards against retries that amplify an overload, and against refusals that wrongly state that a
 * call did not run.
 */
class CallRetryPlannerTest {

  private final RetryBudget budget = new RetryBudget();
  private final Backoff backoff = new Backoff(20, 100, RandomSource.XO_RO_SHI_RO_128_PP.create(1));

  private CallRetryPlanner plan(boolean repeatable) {
    return new CallRetryPlanner(repeatable, 1_000, budget, backoff);
  }

  @Property(seed = "1", tries = 100)
  void attemptsOfFailingCallsStayWithinTheBudget(@ForAll @IntRange(max = 2_000) int callCount) {
    RetryBudget freshBudget = new RetryBudget();
    int attemptCount = 0;
    for (int call = 0; call < callCount; call++) {
      CallRetryPlanner plan = new CallRetryPlanner(true, 1_000, freshBudget, backoff);
      Step step;
      do {
        attemptCount++;
        plan.onSend("e", 0);
        step = plan.onFailed(false, 1, 0);
      } while (step instanceof Step.Retry);
    }
    assertThat((double) attemptCount)
        .isLessThanOrEqualTo(callCount * (1 + RetryBudget.RETRIES_PER_CALL) + RetryBudget.BURST);
  }

  @Example
  void callThatIsNotRepeatableIsSentOnce() {
    CallRetryPlanner plan = plan(false);
    assertThat(plan.maySend(0)).isTrue();
    assertThat(plan.onSend("e", 0)).isEqualTo(1_000);

    assertThat(plan.maySend(0)).isFalse();
    assertThat(plan.onFailed(true, 7, 10)).isInstanceOf(Step.GiveUp.class);
    assertThat(plan.maySend(10)).isFalse();
  }

  @Example
  void repeatableCallKeepsTimeForItsRetriesAndEndsAtItsDeadline() {
    CallRetryPlanner plan = plan(true);
    assertThat(plan.onSend("a", 0)).isEqualTo(500);
    assertThat(plan.onFailed(false, 7, 500)).isInstanceOf(Step.Retry.class);
    assertThat(plan.onSend("b", 500)).isEqualTo(250);
    assertThat(plan.triedIds()).containsExactlyInAnyOrder("a", "b");
    assertThat(plan.onFailed(false, 7, 1_000)).isInstanceOf(Step.GiveUp.class);
    assertThat(plan.maySend(1_000)).isFalse();
  }

  @Example
  void refusalSaysNotRunOnlyIfNoAttemptMayHaveRun() {
    CallRetryPlanner plan = plan(true);
    assertThat(plan.refused(RefusalKind.OVERLOADED, 1, "").ran()).isEqualTo(RunOutcome.NOT_RUN);
    plan.onSend("a", 0);
    assertThat(plan.refused(RefusalKind.OVERLOADED, 1, "").ran()).isEqualTo(RunOutcome.UNKNOWN);
    plan.onFailed(true, 1, 10);
    assertThat(plan.refused(RefusalKind.OVERLOADED, 1, "").ran()).isEqualTo(RunOutcome.NOT_RUN);
    plan.onSend("b", 20);
    plan.onFailed(false, 1, 30);
    plan.onSend("c", 40);
    plan.onFailed(true, 1, 50);
    assertThat(plan.refused(RefusalKind.OVERLOADED, 1, "").ran()).isEqualTo(RunOutcome.UNKNOWN);
  }

  @Property(seed = "2", tries = 200)
  void delaysAreDrawnFromTheWholeRangeBelowAGrowingBound(@ForAll @IntRange(min = 1) int retry) {
    long bound = retry >= 4 ? 100 : Math.min(100, 20L << (retry - 1));
    assertThat(backoff.delayMillis(retry)).isBetween(0L, bound);
  }
}
