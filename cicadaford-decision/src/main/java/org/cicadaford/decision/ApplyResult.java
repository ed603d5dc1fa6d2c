package org.cicadaford.decision;

/** What a reducer made of a record at its offset. Every reader comes to the same verdict. */
public sealed interface ApplyResult {

  /** The record took effect. */
  record Accepted() implements ApplyResult {}

  /**
   * The record has no effect.
   *
   * @param reason why, and what the writer can do
   */
  record Rejected(String reason) implements ApplyResult {}

  /** The verdict on a record that took effect. */
  ApplyResult ACCEPTED = new Accepted();

  /** Returns the verdict on a record without effect. */
  static ApplyResult rejected(String reason) {
    return new Rejected(reason);
  }

  /** Returns whether the record took effect. */
  default boolean isAccepted() {
    return this instanceof Accepted;
  }
}
