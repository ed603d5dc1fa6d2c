package org.cicadaford.model;

/**
 * What a worker says of one placement.
 *
 * @param lease the placement
 * @param state its state
 * @param answer what the task answered, or why it failed; empty while it runs
 * @param usage lagging measurement of what the task uses
 * @param startedAtMillis the worker's clock when the task started; 0 if it never did
 * @param endedAtMillis the worker's clock when the task ended; 0 while it runs
 * @param leaseUntilMillis end of the lease as the worker knows it
 */
public record TaskReport(
    WorkerCommand.Lease lease,
    State state,
    String answer,
    Resources usage,
    long startedAtMillis,
    long endedAtMillis,
    long leaseUntilMillis) {

  /** State of a placement on its worker. */
  public enum State {
    /** The task runs. */
    RUNNING,
    /** The task ran to its end. */
    COMPLETED,
    /** The task ended with an error. */
    FAILED,
    /** The task was stopped, or its lease ended. */
    STOPPED,
    /** The start was refused; the task did not run and will not run under this lease. */
    REFUSED
  }
}
