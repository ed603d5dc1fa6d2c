package org.cicadaford.cell;

import java.util.List;

/**
 * The time in which a job is to end, and the time needed from each of its steps on.
 *
 * <p>The objective is a factor on the duration of the longest chain of steps, plus a constant; the
 * configuration of the queue states both. Durations are the estimates of the submitter.
 *
 * @param objectiveMillis time from the begin of the job to its end, in milliseconds
 * @param remainingMillis time from the start of each step to the end of the job, in milliseconds
 */
record JobObjective(long objectiveMillis, List<Long> remainingMillis) {

  /** Multiple of the objective up to which a late result is useful; from the service level. */
  private static final int USEFUL_FACTOR = 3;

  /** Returns the objective of a job in its queue. */
  static JobObjective of(JobSpec spec, Queue queue) {
    List<StepSpec> steps = spec.steps();
    Long[] remaining = new Long[steps.size()];
    long chainMillis = 0;
    for (int index = 0; index < steps.size(); index++) {
      chainMillis = Math.max(chainMillis, remainingFrom(index, steps, queue.advice(), remaining));
    }
    long objectiveMillis = Math.round(queue.stretch() * chainMillis) + queue.targetLatencyMillis();
    return new JobObjective(objectiveMillis, List.of(remaining));
  }

  private static long remainingFrom(
      int index, List<StepSpec> steps, AdvicePolicy advice, Long[] computed) {
    if (computed[index] != null) {
      return computed[index];
    }
    long laterMillis = 0;
    for (int later = 0; later < steps.size(); later++) {
      if (steps.get(later).after().contains(index)) {
        laterMillis = Math.max(laterMillis, remainingFrom(later, steps, advice, computed));
      }
    }
    long adviceMillis =
        advice.required() ? advice.callMillis(CoordinatorSettings.ADVICE_WORKER_COUNT) : 0;
    computed[index] = adviceMillis + steps.get(index).estimateMillis() + laterMillis;
    return computed[index];
  }

  /** Returns the latest Unix time for the start of a step that meets the objective. */
  long latestOnTimeStartMillis(int step, long beginUnixMillis) {
    return beginUnixMillis + objectiveMillis - remainingMillis.get(step);
  }

  /** Returns the latest Unix time for the start of a step whose result is still useful. */
  long latestUsefulStartMillis(int step, long beginUnixMillis) {
    return beginUnixMillis + USEFUL_FACTOR * objectiveMillis - remainingMillis.get(step);
  }
}
