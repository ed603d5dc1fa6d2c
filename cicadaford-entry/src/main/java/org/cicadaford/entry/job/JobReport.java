package org.cicadaford.entry.job;

import java.util.List;

/**
 * State of a job and of its tasks, as far as this instance can tell.
 *
 * @param jobId the job
 * @param name name of its description
 * @param team team that it is charged to
 * @param kind kind of work
 * @param state state over all zones: waiting, active, completed, failed, cancelled, impossible or
 *     unknown
 * @param reason why, or empty
 * @param submittedAtMillis time of the submission
 * @param zones parts of the job
 */
public record JobReport(
    String jobId,
    String name,
    String team,
    String kind,
    String state,
    String reason,
    long submittedAtMillis,
    List<ZonePart> zones) {

  /**
   * Part of a job in one zone.
   *
   * @param zone availability zone
   * @param state state of the part; unknown if the zone cannot be asked
   * @param reason why, or empty
   * @param tasks its tasks
   */
  public record ZonePart(String zone, String state, String reason, List<TaskPart> tasks) {}

  /**
   * State of a task.
   *
   * @param index position in the job
   * @param state waiting, placed, stopping or ended
   * @param attempt number of its last placement; 0 before the first
   * @param workerId worker of the last placement, or empty
   * @param zone availability zone
   * @param placedAtMillis time of the last placement, or 0
   * @param endedAtMillis time at which the last placement ended, or 0
   * @param end how it ended, or empty
   * @param answer what the task answered, or why it failed
   */
  public record TaskPart(
      int index,
      String state,
      int attempt,
      String workerId,
      String zone,
      long placedAtMillis,
      long endedAtMillis,
      String end,
      String answer) {}
}
