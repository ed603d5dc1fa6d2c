package org.cicadaford.cell;

import java.util.List;

/**
 * Time in which a job is to end, and the time that is left for each of its steps.
 *
 * <p>The objective is the one that the queue's configuration states: a factor on the longest chain
 * of the job's steps, and a constant. Run times are the submitter's estimates.
 *
 * @param objectiveMillis time from the job's beginning to its end, in milliseconds
 * @param remainingMillis time from the start of each step to the end of the job, in milliseconds
 */
record JobObjective(long objectiveMillis, List<Long> remainingMillis) {

  /** Factor on the objective up to which a late end is of use; from the users' rules on credit. */
  private static final int LATE_FACTOR = 3;

  /** Returns the objective of a job on its queue. */
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
      int index, List<StepSpec> steps, AdvicePolicy advice, Long[] known) {
    if (known[index] != null) {
      return known[index];
    }
    long laterMillis = 0;
    for (int later = 0; later < steps.size(); later++) {
      if (steps.get(later).after().contains(index)) {
        laterMillis = Math.max(laterMillis, remainingFrom(later, steps, advice, known));
      }
    }
    long adviceMillis =
        advice.required() ? advice.callMillis(CoordinatorSettings.ADVICE_WORKER_COUNT) : 0;
    known[index] = adviceMillis + steps.get(index).estimateMillis() + laterMillis;
    return known[index];
  }

  /** Returns the latest Unix time at which a step may start for the job to meet its objective. */
  long onTimeStartMillis(int step, long beginUnixMillis) {
    return beginUnixMillis + objectiveMillis - remainingMillis.get(step);
  }

  /** Returns the latest Unix time at which a step may start for the job's end to be of use. */
  long usefulStartMillis(int step, long beginUnixMillis) {
    return beginUnixMillis + LATE_FACTOR * objectiveMillis - remainingMillis.get(step);
  }
}
