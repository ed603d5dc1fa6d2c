package org.cicadaford.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.cicadaford.model.Resources;

/**
 * Tells how long work that is handed in now waits at least for its first start.
 *
 * <p>What waits ahead of it is divided by the most that may run at a time: by the team's limit, and
 * for all teams by the capacity of the workers. Running work, work that lasts and advice are left
 * out, so the time is a lower bound: work that it rules out cannot be served in time.
 */
final class StartForecast {

  /** Age up to which a forecast is used again, in milliseconds; making one visits the backlog. */
  private static final long VALID_MILLIS = 100;

  /**
   * Work ahead, in millicores times milliseconds, by priority; excess work goes behind the rest.
   */
  private static final class Waiting {
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

    private double ahead(int priority, boolean ofExcess) {
      double moreUrgent = sum(excess.headMap(priority));
      double samePriority = ofExcess ? excess.getOrDefault(priority, 0.0) : 0;
      return sum(withinShare.headMap(priority, true)) + moreUrgent + samePriority;
    }

    private static double sum(Map<Integer, Double> work) {
      return work.values().stream().mapToDouble(Double::doubleValue).sum();
    }
  }

  private final CellState state;
  private OptionalLong madeAtMillis = OptionalLong.empty();
  private final Map<String, Waiting> waitingByTeam = new HashMap<>();
  private Waiting waitingOfAll = new Waiting();
  private long capacityMillicores;

  StartForecast(CellState state) {
    this.state = state;
  }

  /** Returns the least time until work of a team on a queue of a priority can start. */
  long waitMillis(String team, int priority, boolean excess, ClockReading now) {
    refresh(now);
    double ofAll = over(waitingOfAll.ahead(priority, excess), capacityMillicores);
    Waiting waiting = waitingByTeam.get(team);
    double ofTeam =
        waiting == null ? 0 : over(waiting.ahead(priority, excess), limitMillicores(team));
    return Math.round(Math.max(ofAll, ofTeam));
  }

  /** Returns the time for which a job's work takes up all that its team may run. */
  long durationMillis(Job job) {
    double work = 0;
    for (StepSpec step : job.spec().steps()) {
      work +=
          (double) step.taskCount() * step.demand().processorsMillicores() * step.estimateMillis();
    }
    long limitMillicores = limitMillicores(job.team());
    return Math.round(over(work, limitMillicores > 0 ? limitMillicores : capacityMillicores));
  }

  private long limitMillicores(String team) {
    return state
        .config()
        .team(team)
        .map(TeamShare::limit)
        .orElse(Resources.NONE)
        .processorsMillicores();
  }

  private static double over(double work, long millicores) {
    return millicores <= 0 ? 0 : work / millicores;
  }

  private void refresh(ClockReading now) {
    if (ElapsedTime.within(madeAtMillis, now.monotonicMillis(), VALID_MILLIS)) {
      return;
    }
    madeAtMillis = OptionalLong.of(now.monotonicMillis());
    waitingByTeam.clear();
    waitingOfAll = new Waiting();
    for (StepRun step : state.waiting().all()) {
      boolean overdue = now.unixMillis() > step.usefulStartMillis();
      if (!overdue && !step.spec().longRunning()) {
        waitingOfAll.add(step);
        waitingByTeam.computeIfAbsent(step.job().team(), key -> new Waiting()).add(step);
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
