package org.cicadaford.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cicadaford.decision.JobStatus;
import org.cicadaford.decision.ZoneState;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobKind;
import org.cicadaford.model.Resources;
import org.cicadaford.model.TeamPolicy;
import org.cicadaford.model.Urgency;

/**
 * Measures how evenly resources are divided by weight among teams with a backlog.
 *
 * <p>A team is sampled only while it has waiting batch work of normal urgency without accelerators,
 * because the share of a team without a backlog is limited by its demand. Teams with a backlog in
 * less than a fifth of the samples are excluded.
 */
final class FairnessMeter {

  private final Map<String, Integer> weights = new HashMap<>();
  private final Resources total;
  private final Map<String, List<Double>> sharesByTeam = new HashMap<>();
  private int sampleCount;

  FairnessMeter(Iterable<TeamPolicy> teams, Resources total) {
    teams.forEach(team -> weights.put(team.name(), team.shareWeight()));
    this.total = total;
  }

  /** Takes a sample and returns whether any team has a backlog. */
  boolean sample(ZoneState zone) {
    Set<String> backlogged = new HashSet<>();
    for (JobStatus job : zone.waitingJobs()) {
      JobDescription description = job.description();
      boolean ordinary =
          description.urgency() == Urgency.NORMAL
              && description.kind() == JobKind.BATCH
              && description.resourcesPerTask().acceleratorCount() == 0;
      if (ordinary) {
        backlogged.add(description.team());
      }
    }
    for (String team : backlogged) {
      double share = zone.committed(team).dominantShareOf(total) / weights.get(team);
      sharesByTeam.computeIfAbsent(team, name -> new ArrayList<>()).add(share);
    }
    sampleCount += backlogged.isEmpty() ? 0 : 1;
    return !backlogged.isEmpty();
  }

  /** Returns Jain's fairness index of the mean weighted shares of teams; 1 means equal shares. */
  double jainIndex() {
    double sum = 0;
    double squares = 0;
    int count = 0;
    for (List<Double> shares : sharesByTeam.values()) {
      if (shares.size() * 5 >= sampleCount) {
        double mean = shares.stream().mapToDouble(Double::doubleValue).average().orElse(0);
        sum += mean;
        squares += mean * mean;
        count++;
      }
    }
    return squares == 0 ? 1 : sum * sum / (count * squares);
  }
}
