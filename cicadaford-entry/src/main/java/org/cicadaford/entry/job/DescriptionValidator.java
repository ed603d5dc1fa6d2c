package org.cicadaford.entry.job;

import org.cicadaford.entry.Refusal;
import org.cicadaford.entry.RefusalKind;
import org.cicadaford.entry.RefusedException;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.Resources;

/** Validates that the job description of a request is complete and within bounds. */
final class DescriptionValidator {

  private static final int MAX_TEXT_LENGTH = 4_096;

  private DescriptionValidator() {}

  static void validate(JobDescription job) throws RefusedException {
    require(isText(job.name()), "name", "a non-blank text");
    require(isText(job.team()), "team", "the name of the team");
    require(isText(job.queue()), "queue", "the name of a queue");
    require(isText(job.program()), "program", "the program that a worker runs");
    require(job.kind() != null, "kind", "SERVICE, BATCH or GANG");
    require(job.urgency() != null, "urgency", "URGENT, NORMAL or DEFERRABLE");
    require(
        job.taskCount() >= 1 && job.taskCount() <= JobDescription.MAX_TASK_COUNT,
        "taskCount",
        "from 1 to " + JobDescription.MAX_TASK_COUNT);
    require(job.maxTasksPerRack() >= 0, "maxTasksPerRack", "0 or more");
    require(job.deadlineMillis() >= 0, "deadlineMillis", "0 or more");
    require(job.expectedRunMillis() >= 0, "expectedRunMillis", "0 or more");
    validateResources(job.resourcesPerTask());
  }

  private static void validateResources(Resources resources) throws RefusedException {
    boolean positive =
        resources != null
            && resources.processorsMillicores() > 0
            && resources.memoryMebibytes() > 0
            && resources.acceleratorCount() >= 0;
    boolean withinBounds =
        positive
            && resources.processorsMillicores() < Integer.MAX_VALUE
            && resources.memoryMebibytes() < Integer.MAX_VALUE;
    require(withinBounds, "resourcesPerTask", "positive processorsMillicores and memoryMebibytes");
  }

  private static boolean isText(String value) {
    return value != null && !value.isBlank() && value.length() <= MAX_TEXT_LENGTH;
  }

  private static void require(boolean valid, String field, String expected)
      throws RefusedException {
    if (!valid) {
      throw new RefusedException(
          Refusal.notRun(
              RefusalKind.MALFORMED_REQUEST,
              "field " + field + " of the description must be " + expected));
    }
  }
}
