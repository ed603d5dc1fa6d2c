package org.cicadaford.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.cicadaford.model.Resources;

/**
 * Estimates the minimum delay until work submitted now can start.
 *
 * <p>Divides the backlog ahead of it by the capacity that may be used: the limit of the team, and
 * the capacity of all workers. Running tasks, long-running tasks and advice calls are ignored, so
 * the estimate is a lower bound: work that it rules out cannot be served in time.
 */
final class StartDelayEstimator {

  /** Maximum age of a cached estimate, in milliseconds; an update visits the whole backlog. */
  private static final long CACHE_MILLIS = 100;

  /** Backlog in millicores times milliseconds, by priority; excess work comes last. */
  private static final class Backlog {
    private final TreeMap<Integer, Double> withinShare = new TreeMap<>();
    private final TreeMap<Integer, Double> excess = new TreeMap<>();

    private void add(StepRun step) {
      double work =
          (double) step.waitingTasks().size()
              * step.spec().demand().processorsMillicores()
              * step.spec().estimateMillis();
      boolean beyondShare = step.job().definition().excess();
      (beyondShare ? excess : withinShare).merge(step.job().queue().priority(), work, Double::sum);
    }

    private double workAhead(int priority, boolean forExcess) {
      double moreUrgent = sum(excess.headMap(priority));
      double samePriority = forExcess ? excess.getOrDefault(priority, 0.0) : 0;
      return sum(withinShare.headMap(priority, true)) + moreUrgent + samePriority;
    }

    private static double sum(Map<Integer, Double> work) {
      return work.values().stream().mapToDouble(Double::doubleValue).sum();
    }
  }

  private final CellState state;
  private OptionalLong updatedAtMillis = OptionalLong.empty();
  private final Map<String, Backlog> backlogByTeam = new HashMap<>();
  private Backlog totalBacklog = new Backlog();
  private long capacityMillicores;

  StartDelayEstimator(CellState state) {
    this.state = state;
  }

  /** Returns the minimum time until work of a team at a priority can start, in milliseconds. */
  long waitMillis(String team, int priority, boolean excess, ClockReading now) {
    refresh(now);
    double ofAll = durationOf(totalBacklog.workAhead(priority, excess), capacityMillicores);
    Backlog backlog = backlogByTeam.get(team);
    double ofTeam =
        backlog == null
            ? 0
            : durationOf(backlog.workAhead(priority, excess), limitMillicores(team));
    return Math.round(Math.max(ofAll, ofTeam));
  }

  /**
   * Returns the time for which the work of a job uses the whole limit of its team, in milliseconds.
   */
  long durationMillis(Job job) {
    double work = 0;
    for (StepSpec step : job.spec().steps()) {
      work +=
          (double) step.taskCount() * step.demand().processorsMillicores() * step.estimateMillis();
    }
    long limitMillicores = limitMillicores(job.team());
    return Math.round(durationOf(work, limitMillicores > 0 ? limitMillicores : capacityMillicores));
  }

  private long limitMillicores(String team) {
    return state
        .config()
        .team(team)
        .map(TeamShare::limit)
        .orElse(Resources.NONE)
        .processorsMillicores();
  }

  private static double durationOf(double work, long millicores) {
    return millicores <= 0 ? 0 : work / millicores;
  }

  private void refresh(ClockReading now) {
    if (ElapsedTime.within(updatedAtMillis, now.monotonicMillis(), CACHE_MILLIS)) {
      return;
    }
    updatedAtMillis = OptionalLong.of(now.monotonicMillis());
    backlogByTeam.clear();
    totalBacklog = new Backlog();
    for (StepRun step : state.waiting().all()) {
      boolean overdue = now.unixMillis() > step.latestUsefulStartMillis();
      if (!overdue && !step.spec().longRunning()) {
        totalBacklog.add(step);
        backlogByTeam.computeIfAbsent(step.job().team(), key -> new Backlog()).add(step);
      }
    }
    capacityMillicores = 0;
    for (Worker worker : state.workers().values()) {
      if (worker.listed()) {
        capacityMillicores += worker.listing().capacity().processorsMillicores();
      }
    }
  }
}
