package org.cicadaford.description.internal;

import java.util.List;
import org.cicadaford.description.DescriptionLimits;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobKind;
import org.cicadaford.model.Urgency;

/** Reports fields of a job that are valid individually but conflict with each other. */
final class JobChecker {

  private final DescriptionLimits limits;

  JobChecker(DescriptionLimits limits) {
    this.limits = limits;
  }

  void check(LocatedEntry<JobDescription> located) {
    JobDescription job = located.value();
    MappingReader fields = located.reader();
    if (job.kind() == JobKind.SERVICE) {
      checkService(fields);
    } else {
      checkDeadline(job, fields);
    }
    if (job.kind() == JobKind.GANG) {
      checkGang(job, fields);
    }
    if (job.urgency() == Urgency.DEFERRABLE && !fields.has(FieldSpecs.DEADLINE)) {
      fields.addError(
          FieldSpecs.URGENCY,
          "deferrable work without a deadline could wait forever",
          "add a deadline or use urgency normal");
    }
  }

  private static void checkService(MappingReader fields) {
    for (FieldSpec<Long> spec : List.of(FieldSpecs.DEADLINE, FieldSpecs.EXPECTED_RUN)) {
      if (fields.has(spec)) {
        fields.addError(
            spec,
            "a service runs until it is removed",
            "remove the field, or use kind batch for work that ends");
      }
    }
  }

  private static void checkDeadline(JobDescription job, MappingReader fields) {
    if (fields.has(FieldSpecs.DEADLINE) && job.deadlineMillis() < job.expectedRunMillis()) {
      fields.addError(
          FieldSpecs.DEADLINE,
          "the deadline of "
              + job.deadlineMillis()
              + "ms is shorter than the expected run time of "
              + job.expectedRunMillis()
              + "ms",
          "extend the deadline or correct expected-run");
    }
  }

  /** All tasks of a gang start in one zone, so the zone needs enough racks for them. */
  private void checkGang(JobDescription job, MappingReader fields) {
    if (job.maxTasksPerRack() == 0) {
      return;
    }
    int racksNeeded = Math.ceilDiv(job.taskCount(), job.maxTasksPerRack());
    if (racksNeeded > limits.maxRacksPerZone()) {
      fields.addError(
          FieldSpecs.SPREAD,
          "a gang of "
              + job.taskCount()
              + " tasks with at most "
              + job.maxTasksPerRack()
              + " in a rack needs "
              + racksNeeded
              + " racks, but an availability zone has at most "
              + limits.maxRacksPerZone(),
          "allow more tasks in a rack or use fewer tasks");
    }
  }
}
