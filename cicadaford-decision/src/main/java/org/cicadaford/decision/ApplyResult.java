package org.cicadaford.decision;

/**
 * Reports whether a record at its offset took effect. Every reader of a stream gets the same
 * result.
 */
public sealed interface ApplyResult {

  /** The record took effect. */
  record Accepted() implements ApplyResult {}

  /**
   * The record has no effect.
   *
   * @param reason why it was rejected, and what the writer can do
   */
  record Rejected(String reason) implements ApplyResult {}

  /** Result for a record that took effect. */
  ApplyResult ACCEPTED = new Accepted();

  /** Returns the result for a record without effect. */
  static ApplyResult rejected(String reason) {
    return new Rejected(reason);
  }

  /** Returns whether the record took effect. */
  default boolean isAccepted() {
    return this instanceof Accepted;
  }
}
