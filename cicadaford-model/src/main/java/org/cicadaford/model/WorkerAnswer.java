package org.cicadaford.model;

import java.util.List;

/**
 * A worker's answer to a command.
 *
 * @param workerId instance that answers
 * @param reports the placement that the command names or, for a renewal, every placement that the
 *     worker knows, with ended ones kept for at least ten minutes
 */
public record WorkerAnswer(String workerId, List<TaskReport> reports) {

  /** Copies the list of reports. */
  public WorkerAnswer {
    reports = List.copyOf(reports);
  }
}
