package org.cicadaford.decision;

import java.util.Optional;
import java.util.function.Function;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.Resources;

/** Reserves more than declared for tasks whose measured usage is higher. */
final class MeasuredTaskSizer implements TaskSizer {

  /** Minimum number of usage reports; with fewer, the declared size is used. */
  static final long MIN_REPORT_COUNT = 20;

  /**
   * Maximum factor by which a declared size is raised. Without a limit, a runaway task could grow
   * the reservation of its whole job until no worker has room for it.
   */
  static final int MAX_RAISE_FACTOR = 2;

  private final Function<String, Optional<UsageEstimate>> estimates;

  /**
   * Creates the sizer; {@code estimates} returns the usage estimate of a description by its name.
   */
  MeasuredTaskSizer(Function<String, Optional<UsageEstimate>> estimates) {
    this.estimates = estimates;
  }

  @Override
  public Resources sizeToReserve(JobDescription description) {
    Resources declared = description.resourcesPerTask();
    return estimates
        .apply(description.name())
        .filter(estimate -> estimate.reportCount() >= MIN_REPORT_COUNT)
        .map(estimate -> raise(declared, estimate))
        .orElse(declared);
  }

  private static Resources raise(Resources declared, UsageEstimate estimate) {
    return new Resources(
        raise(declared.processorsMillicores(), estimate.processorsMillicores()),
        raise(declared.memoryMebibytes(), estimate.memoryMebibytes()),
        declared.acceleratorCount());
  }

  private static long raise(long declared, long measured) {
    return Math.min(Math.max(declared, measured), declared * MAX_RAISE_FACTOR);
  }
}
