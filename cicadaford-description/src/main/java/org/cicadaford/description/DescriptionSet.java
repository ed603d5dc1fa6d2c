package org.cicadaford.description;

import java.util.List;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.QueuePolicy;
import org.cicadaford.model.TeamPolicy;

/**
 * Holds the whole configuration that a set of checked files describes, each list by name.
 *
 * @param jobs services, batch jobs and gang jobs
 * @param teams teams
 * @param queues queues
 * @param fileCount number of files read
 */
public record DescriptionSet(
    List<JobDescription> jobs, List<TeamPolicy> teams, List<QueuePolicy> queues, int fileCount) {

  /** Copies the lists. */
  public DescriptionSet {
    jobs = List.copyOf(jobs);
    teams = List.copyOf(teams);
    queues = List.copyOf(queues);
  }
}
