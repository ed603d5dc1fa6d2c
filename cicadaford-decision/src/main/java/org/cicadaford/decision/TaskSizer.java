package org.cicadaford.decision;

import org.cicadaford.model.JobDescription;
import org.cicadaford.model.Resources;

/** Tells how much to reserve for a task, as declared sizes are far off. */
@FunctionalInterface
public interface TaskSizer {

  /** Reserves what the description declares. */
  TaskSizer DECLARED = JobDescription::resourcesPerTask;

  /** Returns the amounts to reserve for each task of {@code description}. */
  Resources reserve(JobDescription description);
}
