package org.cicadaford.entry;

import org.cicadaford.model.RunOutcome;

/**
 * Describes why a request is refused and how the caller can proceed.
 *
 * @param kind kind of the refusal
 * @param detail cause and remedy
 * @param runOutcome whether the request was executed
 * @param retryAfterMillis delay before a retry; 0 if retrying is of no use
 */
public record Refusal(
    RefusalKind kind, String detail, RunOutcome runOutcome, long retryAfterMillis) {

  /** Returns the refusal of a request that was not executed and must be changed before a retry. */
  public static Refusal notRun(RefusalKind kind, String detail) {
    return new Refusal(kind, detail, RunOutcome.NOT_RUN, 0);
  }

  /** Returns the refusal of a request that was not executed and may be retried later. */
  public static Refusal retryable(RefusalKind kind, String detail, long retryAfterMillis) {
    return new Refusal(kind, detail, RunOutcome.NOT_RUN, retryAfterMillis);
  }

  /** Returns the refusal of a request that may or may not have been executed. */
  public static Refusal unknownOutcome(RefusalKind kind, String detail, long retryAfterMillis) {
    return new Refusal(kind, detail, RunOutcome.UNKNOWN, retryAfterMillis);
  }
}
