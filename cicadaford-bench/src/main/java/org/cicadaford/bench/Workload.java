package org.cicadaford.bench;

import java.util.List;
import org.cicadaford.decision.ListedWorker;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.TeamPolicy;

/**
 * Holds the workers, teams and jobs of a simulated zone.
 *
 * @param workers workers of the zone
 * @param teams teams, those with the most work first
 * @param arrivals jobs in the order of submission
 */
public record Workload(List<ListedWorker> workers, List<TeamPolicy> teams, List<Arrival> arrivals) {

  /**
   * Holds a job and the time of its submission.
   *
   * @param atMillis time of the submission
   * @param jobId id of the job
   * @param description declared description of the job
   * @param actualRunMillis actual run time of each task; empty for services
   */
  public record Arrival(
      long atMillis, String jobId, JobDescription description, List<Long> actualRunMillis) {}
}
