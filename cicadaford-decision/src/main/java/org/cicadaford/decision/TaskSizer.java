package org.cicadaford.decision;

import org.cicadaford.model.JobDescription;
import org.cicadaford.model.Resources;

/** Determines how much to reserve for a task; declared sizes are often far from actual usage. */
@FunctionalInterface
public interface TaskSizer {

  /** Reserves the declared size. */
  TaskSizer DECLARED = JobDescription::resourcesPerTask;

  /** Returns the resources to reserve for each task of {@code description}. */
  Resources sizeToReserve(JobDescription description);
}
