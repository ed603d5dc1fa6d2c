package org.cicadaford.cell;

/** Outcome of a submission. */
public sealed interface AdmissionDecision {

  /** The job is being stored; an {@link Action.ConfirmSubmission} follows. */
  record Storing() implements AdmissionDecision {}

  /**
   * The job was cancelled before it was submitted and is being stored as cancelled; an {@link
   * Action.ConfirmSubmission} follows.
   *
   * @param cancelledAgeMillis time since the cancellation, in milliseconds
   */
  record CancelledBefore(long cancelledAgeMillis) implements AdmissionDecision {}

  /** The job is already stored. */
  record AlreadyStored() implements AdmissionDecision {}

  /**
   * The job is refused and never runs.
   *
   * @param reason reason for the log
   * @param retryAfterMillis delay before the caller may retry, in milliseconds
   */
  record Refused(String reason, long retryAfterMillis) implements AdmissionDecision {}
}
