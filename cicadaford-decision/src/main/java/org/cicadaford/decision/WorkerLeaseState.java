package org.cicadaford.decision;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cicadaford.model.TaskReport;
import org.cicadaford.model.WorkerAnswer;
import org.cicadaford.model.WorkerCommand;
import org.cicadaford.model.WorkerCommand.Lease;

/** Holds what the owner knows about one worker in its epoch. */
final class WorkerLeaseState {

  final Map<Lease, LeaseEntry> entries = new HashMap<>();

  /** Time at which the next regular renewal is due; 0 before the first. */
  long dueAtMillis;

  /** Time of the last renewal sent, or 0. */
  long renewedAtMillis;

  /** Whether the last renewal only asked for reports. */
  boolean lastRenewalWasProbe;

  /** Latest sending time of a command with a complete answer, or 0. */
  long lastAnsweredCommandSentAtMillis;

  /** Whether the last command was not answered. */
  boolean unreachable;

  /** Whether the worker is leaving, so that its tasks are evacuated. */
  boolean leaving;

  /** Whether reports have arrived that were not processed yet. */
  boolean hasNewReports;

  /** Whether an answer arrived or timed out since the worker was last checked. */
  boolean hasUpdate = true;

  /** Whether the worker is checked in this round. */
  boolean selectedForRound;

  /** Revision of the recorded worker at the last check. */
  long checkedRevision;

  /** Time until which the worker needs no check unless something changes; 0 if it may need one. */
  long idleUntilMillis;

  LeaseEntry entry(Lease lease) {
    return entries.computeIfAbsent(lease, key -> new LeaseEntry());
  }

  void onAnswer(WorkerCommand command, WorkerAnswer answer, long sentAtMillis, long nowMillis) {
    unreachable = false;
    hasUpdate = true;
    boolean complete = command instanceof WorkerCommand.Renew;
    long earliestReportedStartMillis = complete ? earliestStart(answer.reports()) : 0;
    for (TaskReport report : answer.reports()) {
      store(report, complete, earliestReportedStartMillis, sentAtMillis, nowMillis);
    }
    hasNewReports = hasNewReports || complete;
    if (complete && sentAtMillis >= lastAnsweredCommandSentAtMillis) {
      lastAnsweredCommandSentAtMillis = sentAtMillis;
      markAbsent(answer, sentAtMillis);
    }
  }

  private static long earliestStart(List<TaskReport> reports) {
    return reports.stream()
        .mapToLong(TaskReport::startedAtMillis)
        .filter(startedAtMillis -> startedAtMillis > 0)
        .min()
        .orElse(0);
  }

  /** Stores the report unless it is older than the stored one or contradicts a reported end. */
  private void store(
      TaskReport report,
      boolean complete,
      long earliestReportedStartMillis,
      long sentAtMillis,
      long nowMillis) {
    LeaseEntry entry = entry(report.lease());
    boolean older = entry.report != null && sentAtMillis < entry.reportSentAtMillis;
    boolean contradictsEnd = entry.hasEnded() && report.state() == TaskReport.State.RUNNING;
    boolean dropsReportedEnd =
        entry.hasEnded() && !entry.neverStarted() && report.startedAtMillis() == 0;
    if (older || contradictsEnd || dropsReportedEnd) {
      return;
    }
    entry.report = report;
    entry.reportSentAtMillis = sentAtMillis;
    entry.reportReceivedAtMillis = nowMillis;
    entry.reportInCompleteAnswer = complete;
    entry.earliestReportedStartMillis = earliestReportedStartMillis;
    entry.absent = false;
  }

  private void markAbsent(WorkerAnswer answer, long sentAtMillis) {
    Set<Lease> listed = new HashSet<>();
    answer.reports().forEach(report -> listed.add(report.lease()));
    entries.forEach(
        (lease, entry) -> {
          boolean reportOlder = entry.report == null || entry.reportSentAtMillis < sentAtMillis;
          boolean sentBefore = entry.startResentAtMillis < sentAtMillis;
          if (reportOlder && sentBefore && !listed.contains(lease)) {
            entry.absent = true;
          }
        });
  }

  /** Returns whether the last renewal is unanswered. */
  boolean isRenewalUnanswered() {
    return renewedAtMillis > lastAnsweredCommandSentAtMillis;
  }
}
