package org.cicadaford.decision;

import org.cicadaford.model.TaskReport;

/** Holds what the owner knows about one lease on a worker in its epoch. */
final class LeaseEntry {

  /** End of the last lease granted in this epoch, sent or not; 0 if none. */
  long grantedUntilMillis;

  /** Time of the first start sent in this epoch, or 0. */
  long startSentAtMillis;

  /** End of the lease granted by the start. */
  long startLeaseUntilMillis;

  /** Time of the last start sent, or 0. */
  long startResentAtMillis;

  /** Time of the last stop sent in this epoch, or 0. */
  long stopSentAtMillis;

  /** Time at which the stop of the running task was last decided, or 0. */
  long stopDecidedAtMillis;

  /** Time of the last throttle, or 0. */
  long throttledAtMillis;

  /** Last report of the worker, or null. */
  TaskReport report;

  /** Time at which the last report arrived. */
  long reportReceivedAtMillis;

  /** Time at which the command that it answers was sent. */
  long reportSentAtMillis;

  /** Whether the last complete answer did not list this lease. */
  boolean absent;

  /** Whether the last report came with a complete answer. */
  boolean reportInCompleteAnswer;

  /**
   * Earliest start time in the complete answer that carried the last report, or 0. A worker that
   * still reports this start has not lost its state since then.
   */
  long earliestReportedStartMillis;

  /** Whether the end of the placement was decided; no further lease or start is sent. */
  boolean endDecided;

  /** Whether the run was counted as a failure. */
  boolean failureCounted;

  /** Whether the run was counted as a success. */
  boolean successCounted;

  /** Whether the run time was counted. */
  boolean runTimeCounted;

  boolean hasEnded() {
    return report != null && report.state() != TaskReport.State.RUNNING;
  }

  boolean isRunning() {
    return report != null && report.state() == TaskReport.State.RUNNING && !absent;
  }

  /** Returns whether the worker reports that the task never started and never will. */
  boolean neverStarted() {
    return report != null
        && (report.state() == TaskReport.State.REFUSED
            || report.state() == TaskReport.State.STOPPED && report.startedAtMillis() == 0);
  }

  void grant(long untilMillis) {
    grantedUntilMillis = Math.max(grantedUntilMillis, untilMillis);
  }
}
