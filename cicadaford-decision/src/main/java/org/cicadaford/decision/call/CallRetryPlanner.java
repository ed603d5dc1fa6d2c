package org.cicadaford.decision.call;

import java.util.HashSet;
import java.util.Set;
import org.cicadaford.decision.call.CallResult.Refused;
import org.cicadaford.model.RunOutcome;

/**
 * Decides after each attempt of a call whether to retry it, and tracks whether it may have run.
 *
 * <p>Not thread-safe.
 */
public final class CallRetryPlanner {

  /** Maximum attempts of a repeatable call, including the first. */
  public static final int MAX_ATTEMPTS = 3;

  private final boolean repeatable;
  private final long deadlineAtMillis;
  private final RetryBudget budget;
  private final Backoff backoff;
  private final Set<String> triedIds = new HashSet<>();
  private int attemptCount;
  private boolean inFlight;
  private boolean earlierAttemptMayHaveRun;

  /** Next step of a call. */
  public sealed interface Step {

    /** The call is retried after a delay. */
    record Retry(long delayMillis) implements Step {}

    /** The call is given up. */
    record GiveUp(Refused result) implements Step {}
  }

  /** Creates the planner of a new call, and counts the call in the budget. */
  public CallRetryPlanner(
      boolean repeatable, long deadlineAtMillis, RetryBudget budget, Backoff backoff) {
    this.repeatable = repeatable;
    this.deadlineAtMillis = deadlineAtMillis;
    this.budget = budget;
    this.backoff = backoff;
    budget.onCall();
  }

  /** Returns whether the call may be sent now; one that is not repeatable is sent only once. */
  public boolean maySend(long nowMillis) {
    return nowMillis < deadlineAtMillis && (repeatable || attemptCount == 0);
  }

  /** Records that the call is sent to an endpoint and returns the timeout of the attempt. */
  public long onSend(String endpointId, long nowMillis) {
    attemptCount++;
    triedIds.add(endpointId);
    inFlight = true;
    long leftMillis = deadlineAtMillis - nowMillis;
    boolean mayRetry = repeatable && attemptCount < MAX_ATTEMPTS;
    return mayRetry ? Math.max(1, leftMillis / 2) : leftMillis;
  }

  /** Returns the endpoints that the call was sent to. */
  public Set<String> triedIds() {
    return triedIds;
  }

  /**
   * Records that an attempt got no answer and returns the next step.
   *
   * @param notStarted whether the endpoint certainly did not start the call
   * @param retryAfterMillis retry delay for the caller if the call is given up
   */
  public Step onFailed(boolean notStarted, long retryAfterMillis, long nowMillis) {
    inFlight = false;
    earlierAttemptMayHaveRun = earlierAttemptMayHaveRun || !notStarted;
    if (repeatable && attemptCount < MAX_ATTEMPTS) {
      long delayMillis = backoff.delayMillis(attemptCount);
      if (nowMillis + delayMillis < deadlineAtMillis && budget.tryRetry()) {
        return new Step.Retry(delayMillis);
      }
    }
    String detail =
        notStarted
            ? "the endpoint refused the call; retry after the given delay"
            : "the endpoint did not answer; repeat the call only if it is safe to run twice";
    return new Step.GiveUp(refused(RefusalKind.ENDPOINT_FAILED, retryAfterMillis, detail));
  }

  /** Returns whether the call may have run. */
  public boolean mayHaveRun() {
    return inFlight || earlierAttemptMayHaveRun;
  }

  /** Returns a refusal that states whether the call may have run. */
  public Refused refused(RefusalKind kind, long retryAfterMillis, String detail) {
    RunOutcome ran = mayHaveRun() ? RunOutcome.UNKNOWN : RunOutcome.NOT_RUN;
    return new Refused(kind, ran, retryAfterMillis, detail);
  }
}
