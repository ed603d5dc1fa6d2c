package org.cicadaford.decision;

/**
 * Rates and times by which an owner starts, moves and quarantines.
 *
 * @param startWithinMillis time from its placement in which a task must be started
 * @param startsPerSecond largest rate of starts, so that the return of a zone does not start all
 *     waiting tasks at once
 * @param evacuationsPerSecond largest rate at which running tasks are stopped to run elsewhere
 * @param resendMillis time after which an unanswered start or stop is sent again
 * @param failuresToQuarantine fast failures in a row that put a worker into quarantine
 * @param fastFailureMillis run time up to which a failure counts against the worker; a task that
 *     runs for longer counts as a success of the worker
 * @param firstQuarantineMillis length of the first quarantine; each further one is twice as long
 * @param longestQuarantineMillis bound on the length of a quarantine
 * @param throttleIntervalMillis time between two throttles of a task, because usage reports lag
 */
public record LifeCycleSettings(
    long startWithinMillis,
    int startsPerSecond,
    int evacuationsPerSecond,
    long resendMillis,
    int failuresToQuarantine,
    long fastFailureMillis,
    long firstQuarantineMillis,
    long longestQuarantineMillis,
    long throttleIntervalMillis) {

  /** Settings of the design. */
  public static final LifeCycleSettings DEFAULT =
      new LifeCycleSettings(60_000, 200, 50, 2_000, 3, 5_000, 10_000, 600_000, 10_000);
}
