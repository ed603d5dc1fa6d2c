package org.cicadaford.entry.metrics;

import java.util.List;
import java.util.Locale;
import org.cicadaford.decision.JobStatus;
import org.cicadaford.decision.ZoneState;
import org.cicadaford.model.JobState;
import org.cicadaford.model.ZoneChange;
import org.cicadaford.model.ZoneChange.JobClosed;
import org.cicadaford.model.ZoneChange.TaskEnded;

/** Counts the events measured by the service-level objectives. */
public final class ServiceLevelCounter {

  private ServiceLevelCounter() {}

  /**
   * Counts the changes of an owner's batch that took effect.
   *
   * @param state the zone's state after the batch
   */
  public static void count(
      List<ZoneChange> changes, List<ZoneChange> rejected, ZoneState state, EntryMetrics metrics) {
    for (ZoneChange change : changes) {
      if (!rejected.contains(change)) {
        count(change, state, metrics);
      }
    }
  }

  private static void count(ZoneChange change, ZoneState state, EntryMetrics metrics) {
    if (change instanceof TaskEnded ended) {
      state
          .job(ended.taskId().jobId())
          .ifPresent(
              job ->
                  metrics.countEndedTask(
                      job.description().team(), ended.end().name().toLowerCase(Locale.ROOT)));
    } else if (change instanceof JobClosed closed) {
      state.job(closed.jobId()).ifPresent(job -> countDeadline(closed, job, metrics));
    }
  }

  /** Counts a deadline as met or missed; a job cancelled by its team counts as neither. */
  private static void countDeadline(JobClosed closed, JobStatus job, EntryMetrics metrics) {
    long deadlineMillis = job.description().deadlineMillis();
    if (deadlineMillis > 0 && closed.state() != JobState.CANCELLED) {
      boolean inTime =
          closed.state() == JobState.COMPLETED
              && closed.closedAtMillis() - job.submittedAtMillis() <= deadlineMillis;
      metrics.countDeadlineJob(job.description().team(), inTime);
    }
  }
}
