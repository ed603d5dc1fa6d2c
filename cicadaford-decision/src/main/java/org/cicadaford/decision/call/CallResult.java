package org.cicadaford.decision.call;

import org.cicadaford.model.RunOutcome;

/** Holds how a call ended for its caller. */
public sealed interface CallResult {

  /**
   * Holds the complete answer of an endpoint.
   *
   * @param statusCode the endpoint's HTTP status
   * @param contentType media type of the body
   * @param body bytes of the answer
   */
  record Answered(int statusCode, String contentType, byte[] body) implements CallResult {}

  /**
   * The call got no answer.
   *
   * @param kind why the call was refused
   * @param ran whether the call was run
   * @param retryAfterMillis time after which the caller can try again; 0 if that is of no use
   * @param detail what happened and what the caller can do
   */
  record Refused(RefusalKind kind, RunOutcome ran, long retryAfterMillis, String detail)
      implements CallResult {}
}
