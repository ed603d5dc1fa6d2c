package org.cicadaford.entry;

import org.cicadaford.model.RunOutcome;

/**
 * Tells a caller that its request is not answered, and what to do.
 *
 * @param kind kind of refusal
 * @param detail what is wrong and the remedy
 * @param runOutcome whether the request was run
 * @param retryAfterMillis time after which a repetition makes sense; 0 if it never does
 */
public record Refusal(
    RefusalKind kind, String detail, RunOutcome runOutcome, long retryAfterMillis) {

  /** Returns the refusal of a request that was not run and is not to be repeated as it is. */
  public static Refusal notRun(RefusalKind kind, String detail) {
    return new Refusal(kind, detail, RunOutcome.NOT_RUN, 0);
  }

  /** Returns the refusal of a request that was not run and may be repeated later. */
  public static Refusal retryable(RefusalKind kind, String detail, long retryAfterMillis) {
    return new Refusal(kind, detail, RunOutcome.NOT_RUN, retryAfterMillis);
  }

  /** Returns the refusal of a request of which it cannot be told whether it was run. */
  public static Refusal unknownOutcome(RefusalKind kind, String detail, long retryAfterMillis) {
    return new Refusal(kind, detail, RunOutcome.UNKNOWN, retryAfterMillis);
  }
}
