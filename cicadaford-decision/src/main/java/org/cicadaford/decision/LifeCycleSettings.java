package org.cicadaford.decision;

/**
 * Configures the rates and times for starting, evacuating and throttling tasks and for quarantining
 * workers.
 *
 * @param startTimeoutMillis maximum time between the placement and the start of a task
 * @param startsPerSecond maximum rate of starts, so that a zone that is brought back does not start
 *     all waiting tasks at once
 * @param evacuationsPerSecond maximum rate at which running tasks are stopped to run elsewhere
 * @param resendMillis time after which an unanswered start or stop is sent again
 * @param failuresToQuarantine consecutive fast failures after which a worker is quarantined
 * @param fastFailureMillis run time up to which a failure counts against the worker; a task that
 *     runs for longer counts as a success of the worker
 * @param firstQuarantineMillis length of the first quarantine; each further one is twice as long
 * @param longestQuarantineMillis maximum length of a quarantine
 * @param throttleIntervalMillis minimum time between two throttles of a task, because usage reports
 *     lag
 */
public record LifeCycleSettings(
    long startTimeoutMillis,
    int startsPerSecond,
    int evacuationsPerSecond,
    long resendMillis,
    int failuresToQuarantine,
    long fastFailureMillis,
    long firstQuarantineMillis,
    long longestQuarantineMillis,
    long throttleIntervalMillis) {

  /** Default settings. */
  public static final LifeCycleSettings DEFAULT =
      new LifeCycleSettings(60_000, 200, 50, 2_000, 3, 5_000, 10_000, 600_000, 10_000);
}
