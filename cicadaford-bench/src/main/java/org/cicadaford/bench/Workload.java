package org.cicadaford.bench;

import java.util.List;
import org.cicadaford.decision.ListedWorker;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.TeamPolicy;

/**
 * Workers, teams and jobs of one simulated zone.
 *
 * @param workers workers of the zone
 * @param teams teams, those with the most work first
 * @param arrivals jobs in the order of submission
 */
public record Workload(List<ListedWorker> workers, List<TeamPolicy> teams, List<Arrival> arrivals) {

  /**
   * A job that is submitted.
   *
   * @param atMillis time of the submission
   * @param jobId id of the job
   * @param description what is declared
   * @param actualRunMillis how long each task really runs; 0 for services
   */
  public record Arrival(
      long atMillis, String jobId, JobDescription description, List<Long> actualRunMillis) {}
}
