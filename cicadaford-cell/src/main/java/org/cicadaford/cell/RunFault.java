package org.cicadaford.cell;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Internal faults of coordinators while they applied an input to one run, as they are stored.
 *
 * @param task task of the run
 * @param run number of the run
 * @param count number of coordinators that the run has ended
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record RunFault(String task, int run, int count) {

  boolean concerns(String otherTask, int otherRun) {
    return run == otherRun && task.equals(otherTask);
  }
}
