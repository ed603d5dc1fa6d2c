package org.cicadaford.model;

/**
 * Reports the state of one placement as its worker knows it.
 *
 * @param lease the placement
 * @param state its state
 * @param answer result of the task, or why it failed; empty while it runs
 * @param usage measured resource usage of the task, which lags behind
 * @param startedAtMillis start time by the worker's clock; 0 if the task never started
 * @param endedAtMillis end time by the worker's clock; 0 while the task runs
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
    /** The task is running. */
    RUNNING,
    /** The task ran to completion. */
    COMPLETED,
    /** The task ended with an error. */
    FAILED,
    /** The task was stopped, or its lease expired. */
    STOPPED,
    /** The start was rejected; the task did not and will not run under this lease. */
    REFUSED
  }
}
