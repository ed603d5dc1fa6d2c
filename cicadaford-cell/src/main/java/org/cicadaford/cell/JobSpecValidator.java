package org.cicadaford.cell;

import java.nio.charset.StandardCharsets;
import java.util.List;

/** Validates job descriptions before they are accepted. */
public final class JobSpecValidator {

  /** Maximum payload size in bytes; defined by the protocol of the platform. */
  static final int MAX_PAYLOAD_BYTES = 4_000;

  /** Maximum number of steps; bounds the memory of a job. */
  static final int MAX_STEPS = 200;

  /** Maximum number of tasks in all steps; bounds the size of a journal record. */
  static final int MAX_TASKS = 5_000;

  private JobSpecValidator() {}

  /**
   * Validates a description.
   *
   * @throws InvalidJobException if the job can never run
   */
  public static void check(JobSpec spec) throws InvalidJobException {
    // A peer or a stored record may lack values, which are null then.
    require(
        spec.payload() != null && spec.steps() != null, "a job has a payload and a list of steps");
    require(
        spec.payload().getBytes(StandardCharsets.UTF_8).length <= MAX_PAYLOAD_BYTES,
        "the payload exceeds " + MAX_PAYLOAD_BYTES + " bytes; shorten it");
    require(
        !spec.steps().isEmpty() && spec.steps().size() <= MAX_STEPS,
        "a job has 1 to " + MAX_STEPS + " steps");
    require(
        spec.occurrenceCount() >= 0 && spec.intervalMillis() >= 0,
        "the number of occurrences and their interval must not be negative");
    long taskCount = 0;
    for (StepSpec step : spec.steps()) {
      checkStep(step, spec.steps().size());
      taskCount += step.taskCount();
    }
    require(taskCount <= MAX_TASKS, "a job has at most " + MAX_TASKS + " tasks; split it");
    require(isAcyclic(spec.steps()), "the step dependencies form a cycle; remove it");
  }

  private static void checkStep(StepSpec step, int stepCount) throws InvalidJobException {
    require(
        step != null
            && step.demand() != null
            && step.after() != null
            && step.requiredLabel() != null
            && step.dataRack() != null,
        "a step lacks a value");
    require(
        step.taskCount() > 0 && step.taskCount() <= MAX_TASKS,
        "a step has 1 to " + MAX_TASKS + " tasks");
    require(
        step.demand().processorsMillicores() >= 0
            && step.demand().memoryMebibytes() >= 0
            && step.demand().acceleratorCount() >= 0,
        "resources must not be negative");
    require(
        step.maxTasksPerWorker() >= 0 && step.maxUnavailable() >= 0,
        "limits of a step must not be negative");
    for (Integer earlier : step.after()) {
      require(
          earlier != null && earlier >= 0 && earlier < stepCount,
          "a step waits for step " + earlier + ", which does not exist");
    }
  }

  private static boolean isAcyclic(List<StepSpec> steps) {
    boolean[] resolved = new boolean[steps.size()];
    int count = 0;
    boolean changed = true;
    while (changed) {
      changed = false;
      for (int index = 0; index < steps.size(); index++) {
        if (!resolved[index] && steps.get(index).after().stream().allMatch(i -> resolved[i])) {
          resolved[index] = true;
          count++;
          changed = true;
        }
      }
    }
    return count == steps.size();
  }

  private static void require(boolean condition, String message) throws InvalidJobException {
    if (!condition) {
      throw new InvalidJobException(message);
    }
  }
}
