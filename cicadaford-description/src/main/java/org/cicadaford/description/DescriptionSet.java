package org.cicadaford.description;

import java.util.List;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.QueuePolicy;
import org.cicadaford.model.TeamPolicy;

/**
 * Holds the configuration defined by a set of valid description files; lists are sorted by name.
 *
 * @param jobs services, batch jobs and gang jobs
 * @param teams shares and quotas of the teams
 * @param queues queues that accept work
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
