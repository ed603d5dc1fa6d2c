package org.cicadaford.cell;

import org.cicadaford.cell.learning.SpeedClass;

/**
 * Chooses between workers by their learnt speed, with the other preferences as before.
 *
 * <p>Designed for a cell at 0.6 of its capacity of which a third is slower by 1.3, where a job is
 * as late as its slowest run. Steps whose objective leaves little slack use the workers that are
 * not slow, even in another zone. Steps with much slack use the slow ones first, which leaves the
 * others free. Workers that do not differ significantly are of one class and are treated as before;
 * in cells of fewer than {@link SpeedLearner#MIN_WORKERS} workers, all are.
 */
final class SpeedPreference {

  /**
   * Factor by which a run may exceed its estimate: two standard deviations, with estimates that are
   * off by 0.5 (standard deviation of the logarithm).
   */
  private static final double OVERRUN_FACTOR = Math.exp(2 * 0.5);

  /** Slack of a step in relation to the run time of its tasks. */
  enum Slack {
    /** A run that exceeds its estimate misses the objective. */
    LITTLE,
    /** The objective is already missed, or the slack is unknown. */
    UNKNOWN,
    /** A run meets the objective even if it exceeds its estimate. */
    MUCH
  }

  private SpeedPreference() {}

  /** Returns the slack of a step for runs that take longer by a factor. */
  static Slack slack(StepRun step, double factor, ClockReading now) {
    StepSpec spec = step.spec();
    long runMillis = spec.estimateMillis();
    long slackMillis = step.latestOnTimeStartMillis() - now.unixMillis();
    if (spec.longRunning() || spec.fills() || runMillis <= 0 || slackMillis < 0) {
      return Slack.UNKNOWN;
    }
    return runMillis + slackMillis < OVERRUN_FACTOR * factor * runMillis
        ? Slack.LITTLE
        : Slack.MUCH;
  }

  /** Returns whether the tasks of a step should avoid slow workers now. */
  static boolean avoidsSlow(StepRun step, ClockReading now) {
    return slack(step, 1, now) == Slack.LITTLE;
  }

  static boolean isSlow(Worker worker) {
    return worker.speed().speedClass().compareTo(SpeedClass.SLOW) >= 0;
  }

  /** Returns whether a worker suits a task better than the best one so far. */
  static boolean isBetter(Task task, Worker worker, Worker best, ClockReading now) {
    if (worker.speed().speedClass() == best.speed().speedClass()) {
      return WorkerEvaluator.isBetter(task, worker, best);
    }
    Slack slack = slack(task.step(), 1, now);
    int penalty = WorkerEvaluator.penalty(task, worker);
    int bestPenalty = WorkerEvaluator.penalty(task, best);
    if (slack == Slack.LITTLE) {
      int difference =
          Integer.compare(
              WorkerEvaluator.withoutZone(penalty), WorkerEvaluator.withoutZone(bestPenalty));
      if (difference != 0) {
        return difference < 0;
      }
      if (isSlow(worker) || isSlow(best)) {
        return worker.speed().speedClass().compareTo(best.speed().speedClass()) < 0;
      }
    }
    if (penalty != bestPenalty) {
      return penalty < bestPenalty;
    }
    int difference = Integer.compare(rank(task, worker, slack, now), rank(task, best, slack, now));
    return difference == 0 ? WorkerEvaluator.isBetter(task, worker, best) : difference < 0;
  }

  /** Returns the rank of the speed of a worker among workers of the same penalty. */
  private static int rank(Task task, Worker worker, Slack slack, ClockReading now) {
    SpeedClass speedClass = worker.speed().speedClass();
    if (speedClass == SpeedClass.VERY_SLOW) {
      return SpeedClass.values().length;
    }
    return switch (slack) {
      case LITTLE -> speedClass.ordinal();
      case UNKNOWN -> 0;
      case MUCH -> {
        boolean endsInTime = slack(task.step(), worker.speed().factor(), now) == Slack.MUCH;
        yield endsInTime ? -speedClass.ordinal() : 0;
      }
    };
  }
}
