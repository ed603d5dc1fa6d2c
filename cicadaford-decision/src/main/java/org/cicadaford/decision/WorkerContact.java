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

/** What an owner knows in its epoch of one worker. */
final class WorkerContact {

  final Map<Lease, LeaseEntry> entries = new HashMap<>();

  /** Time at which the next renewal is due; 0 before the first. */
  long dueAtMillis;

  /** Time of the last renewal sent, or 0. */
  long renewedAtMillis;

  /** Whether the last renewal only asked for reports. */
  boolean lastRenewalWasProbe;

  /** Largest sending time among the commands with a complete answer, or 0. */
  long answeredSentAtMillis;

  /** Whether the last command was not answered. */
  boolean unreachable;

  /** Whether the worker is to be emptied. */
  boolean leaving;

  /** Whether reports came in that the keeper has not looked at. */
  boolean hasNewReports;

  /** Whether an answer came in, or none did, since the last look. */
  boolean isNews = true;

  /** Whether the keeper looks at the worker in this round. */
  boolean isLookedAt;

  /** Revision of the recorded worker at the last look. */
  long lookedRevision;

  /** Time until which nothing is to do unless something changes; 0 if there may be. */
  long quietUntilMillis;

  LeaseEntry entry(Lease lease) {
    return entries.computeIfAbsent(lease, key -> new LeaseEntry());
  }

  void onAnswer(WorkerCommand command, WorkerAnswer answer, long sentAtMillis, long nowMillis) {
    unreachable = false;
    isNews = true;
    boolean complete = command instanceof WorkerCommand.Renew;
    long rememberedSinceMillis = complete ? earliestStart(answer.reports()) : 0;
    for (TaskReport report : answer.reports()) {
      store(report, complete, rememberedSinceMillis, sentAtMillis, nowMillis);
    }
    hasNewReports = hasNewReports || complete;
    if (complete && sentAtMillis >= answeredSentAtMillis) {
      answeredSentAtMillis = sentAtMillis;
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

  /** Keeps the report unless it is older than the one kept; an end is never taken back. */
  private void store(
      TaskReport report,
      boolean complete,
      long rememberedSinceMillis,
      long sentAtMillis,
      long nowMillis) {
    LeaseEntry entry = entry(report.lease());
    boolean older = entry.report != null && sentAtMillis < entry.reportSentAtMillis;
    boolean revives = entry.hasEnded() && report.state() == TaskReport.State.RUNNING;
    boolean lostEnd = entry.hasEnded() && !entry.neverStarted() && report.startedAtMillis() == 0;
    if (older || revives || lostEnd) {
      return;
    }
    entry.report = report;
    entry.reportSentAtMillis = sentAtMillis;
    entry.reportReceivedAtMillis = nowMillis;
    entry.reportInCompleteAnswer = complete;
    entry.rememberedSinceMillis = rememberedSinceMillis;
    entry.absent = false;
  }

  private void markAbsent(WorkerAnswer answer, long sentAtMillis) {
    Set<Lease> listed = new HashSet<>();
    answer.reports().forEach(report -> listed.add(report.lease()));
    entries.forEach(
        (lease, entry) -> {
          boolean known = entry.report == null || entry.reportSentAtMillis < sentAtMillis;
          boolean sentBefore = entry.startResentAtMillis < sentAtMillis;
          if (known && sentBefore && !listed.contains(lease)) {
            entry.absent = true;
          }
        });
  }

  /** Returns whether a renewal was sent and not answered. */
  boolean isRenewalOpen() {
    return renewedAtMillis > answeredSentAtMillis;
  }
}
