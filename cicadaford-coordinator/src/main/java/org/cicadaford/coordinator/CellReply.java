package org.cicadaford.coordinator;

import org.cicadaford.wire.PeerMessage;

/**
 * Reply to a request to the cell coordinator.
 *
 * @param outcome what became of it
 * @param value what was asked for, or the reason of a refusal
 * @param retryAfterMillis time after which a refused caller may try again, in milliseconds
 */
public record CellReply(CellOutcome outcome, String value, long retryAfterMillis) {

  /** Time after which a caller may try again while a coordinator is being chosen. */
  static final long TAKEOVER_RETRY_MILLIS = 1_000;

  static CellReply done(String value) {
    return new CellReply(CellOutcome.DONE, value, 0);
  }

  static CellReply of(CellOutcome outcome, String reason) {
    return new CellReply(outcome, reason, TAKEOVER_RETRY_MILLIS);
  }

  PeerMessage.CellAnswer toMessage() {
    return new PeerMessage.CellAnswer(outcome.name(), value, retryAfterMillis);
  }

  static CellReply of(PeerMessage message) {
    if (message instanceof PeerMessage.CellAnswer answer) {
      return new CellReply(
          CellOutcome.valueOf(answer.outcome()), answer.value(), answer.retryAfterMillis());
    }
    return of(CellOutcome.UNKNOWN, "the peer gave an answer of another kind");
  }
}
