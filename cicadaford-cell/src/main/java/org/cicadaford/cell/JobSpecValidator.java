package org.cicadaford.cell;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.cicadaford.model.RecordCodec;

/** Validates job descriptions before they are accepted. */
public final class JobSpecValidator {

  /** Maximum payload size in bytes; defined by the protocol of the platform. */
  static final int MAX_PAYLOAD_BYTES = 4_000;

  /** Maximum number of steps; bounds the memory of a job. */
  static final int MAX_STEPS = 200;

  /** Maximum number of tasks in all steps; bounds the size of a journal record. */
  static final int MAX_TASKS = 5_000;

  /**
   * Size in bytes that is kept free in a record of the journal, beside the encoded description, for
   * the key, the other fields and usual names of the queue, the team and the zone.
   */
  private static final int RESERVED_BYTES = 16 << 10;

  /** Maximum size of the other fields of a definition without their names, in bytes. */
  private static final int OTHER_FIELDS_BYTES = 1 << 10;

  /** Maximum size of an encoded step without its lists and texts, in bytes. */
  private static final int MAX_STEP_BYTES = 512;

  /** Maximum size of an encoded index of a step, in bytes; an index is below 200. */
  private static final int MAX_INDEX_BYTES = 2;

  /** Maximum size of a character in UTF-8, in bytes. */
  private static final int MAX_CHARACTER_BYTES = 3;

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

  /**
   * Checks that a submitted description fits a record of the journal. Stored descriptions are not
   * checked: they have fitted.
   *
   * @param nameLength number of characters in the names of its queue, team and zone
   * @throws InvalidJobException if it does not
   */
  public static void checkSize(JobSpec spec, int nameLength) throws InvalidJobException {
    long nameBytes = OTHER_FIELDS_BYTES + (long) MAX_CHARACTER_BYTES * nameLength;
    checkEncodedSize(spec, RecordLimits.MAX_RECORD_BYTES - Math.max(RESERVED_BYTES, nameBytes));
  }

  /**
   * Checks that a description may be that of a stored job. Earlier builds stored descriptions that
   * leave less room in a record than {@link #checkSize} requires.
   *
   * @throws InvalidJobException if no build can have stored it
   */
  public static void checkStorable(JobSpec spec) throws InvalidJobException {
    checkEncodedSize(spec, RecordLimits.MAX_RECORD_BYTES);
  }

  private static void checkEncodedSize(JobSpec spec, long maxBytes) throws InvalidJobException {
    // Most descriptions are far smaller, so they need not be encoded to be sure.
    boolean fits = maxEncodedBytes(spec) <= maxBytes || RecordCodec.encode(spec).length <= maxBytes;
    require(
        fits,
        "the job description exceeds "
            + maxBytes
            + " bytes as stored; use fewer steps, dependencies or shorter names");
  }

  /** Returns an upper bound on the size of an encoded description, in bytes. */
  static long maxEncodedBytes(JobSpec spec) {
    long bytes = MAX_STEP_BYTES + (long) MAX_CHARACTER_BYTES * spec.payload().length();
    for (StepSpec step : spec.steps()) {
      long characters = step.requiredLabel().length() + step.dataRack().length();
      characters += step.image() == null ? 0 : step.image().length();
      bytes += MAX_STEP_BYTES + MAX_CHARACTER_BYTES * characters;
      bytes += (long) MAX_INDEX_BYTES * step.after().size();
    }
    return bytes;
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
