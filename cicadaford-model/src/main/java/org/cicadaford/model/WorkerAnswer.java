package org.cicadaford.model;

import java.util.List;

/**
 * Holds a worker's answer to a command.
 *
 * @param workerId worker that answers
 * @param reports the command's placement or, for a renewal, all placements that the worker knows;
 *     ended ones are reported for at least ten minutes
 */
public record WorkerAnswer(String workerId, List<TaskReport> reports) {

  /** Copies the list of reports. */
  public WorkerAnswer {
    reports = List.copyOf(reports);
  }
}
