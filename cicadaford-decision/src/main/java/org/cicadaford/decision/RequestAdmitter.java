package org.cicadaford.decision;

import java.util.ArrayList;
import java.util.List;
import org.cicadaford.model.JobState;
import org.cicadaford.model.RequestRecord;
import org.cicadaford.model.RequestRecord.CallClaimed;
import org.cicadaford.model.RequestRecord.CallFinished;
import org.cicadaford.model.RequestRecord.JobCancelled;
import org.cicadaford.model.RequestRecord.JobSubmitted;
import org.cicadaford.model.ZoneChange;
import org.cicadaford.model.ZoneChange.JobAdmitted;
import org.cicadaford.model.ZoneChange.JobClosed;

/** Converts accepted submissions and cancellations into changes of the zone, each exactly once. */
final class RequestAdmitter {

  private final String zone;

  RequestAdmitter(String zone) {
    this.zone = zone;
  }

  List<ZoneChange> decide(OwnerInputs inputs, long nowMillis) {
    List<ZoneChange> changes = new ArrayList<>();
    for (RequestRecord request : inputs.newRequests()) {
      switch (request) {
        case JobSubmitted submitted -> admit(submitted, changes);
        case JobCancelled cancelled -> cancel(cancelled, inputs, nowMillis, changes);
        case CallClaimed claimed -> {}
        case CallFinished finished -> {}
      }
    }
    return changes;
  }

  /**
   * Closes the job. The ledger may have expired the submission of a long-running job, so the team
   * is checked here against the admitted job; the ledger checks jobs submitted in the same round.
   */
  private static void cancel(
      JobCancelled cancelled, OwnerInputs inputs, long nowMillis, List<ZoneChange> changes) {
    boolean ownedByOtherTeam =
        inputs
            .zone()
            .job(cancelled.jobId())
            .filter(job -> !job.description().team().equals(cancelled.team()))
            .isPresent();
    if (!ownedByOtherTeam) {
      changes.add(
          new JobClosed(cancelled.jobId(), JobState.CANCELLED, "cancelled by its team", nowMillis));
    }
  }

  private void admit(JobSubmitted submitted, List<ZoneChange> changes) {
    List<Integer> indexes = submitted.taskIndexesByZone().get(zone);
    if (indexes != null && !indexes.isEmpty()) {
      changes.add(
          new JobAdmitted(
              submitted.jobId(), submitted.description(), indexes, submitted.submittedAtMillis()));
    }
  }
}
