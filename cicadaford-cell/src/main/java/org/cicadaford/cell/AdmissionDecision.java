package org.cicadaford.cell;

/** What becomes of a submission. */
public sealed interface AdmissionDecision {

  /** The job is being stored; an {@link Action.ConfirmSubmission} follows. */
  record Storing() implements AdmissionDecision {}

  /** The job was stored before. */
  record AlreadyStored() implements AdmissionDecision {}

  /**
   * The job is not accepted and never runs.
   *
   * @param reason why, for the log
   * @param retryAfterMillis time after which the caller may try again, in milliseconds
   */
  record Refused(String reason, long retryAfterMillis) implements AdmissionDecision {}
}
