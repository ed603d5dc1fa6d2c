package org.cicadaford.coordinator;

import org.cicadaford.wire.PeerMessage;

/**
 * Holds the reply to a request to the cell coordinator.
 *
 * @param outcome outcome of the request
 * @param value requested value, or the reason for a refusal
 * @param retryAfterMillis time after which a refused caller may retry, in milliseconds
 */
public record CellReply(CellOutcome outcome, String value, long retryAfterMillis) {

  /** Time after which a caller may retry during an election, in milliseconds. */
  static final long TAKEOVER_RETRY_AFTER_MILLIS = 1_000;

  static CellReply done(String value) {
    return new CellReply(CellOutcome.DONE, value, 0);
  }

  static CellReply of(CellOutcome outcome, String reason) {
    return new CellReply(outcome, reason, TAKEOVER_RETRY_AFTER_MILLIS);
  }

  PeerMessage.CellAnswer toMessage() {
    return new PeerMessage.CellAnswer(outcome.name(), value, retryAfterMillis);
  }

  static CellReply of(PeerMessage message) {
    if (message instanceof PeerMessage.CellAnswer answer) {
      return new CellReply(
          CellOutcome.valueOf(answer.outcome()), answer.value(), answer.retryAfterMillis());
    }
    return of(CellOutcome.UNKNOWN, "unexpected type of answer from the peer");
  }
}
