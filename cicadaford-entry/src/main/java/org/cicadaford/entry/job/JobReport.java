package org.cicadaford.entry.job;

import java.util.List;

/**
 * Holds the state of a job and of its tasks, as far as this instance can determine it.
 *
 * @param jobId id of the job
 * @param name name of the job description
 * @param team team that the job is charged to
 * @param kind kind of job
 * @param state state over all zones: waiting, active, completed, failed, cancelled, impossible or
 *     unknown
 * @param reason reason of the state, or empty
 * @param submittedAtMillis submission time
 * @param zones parts of the job by zone
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
   * Holds the part of a job in one zone.
   *
   * @param zone availability zone
   * @param state state of the part; unknown if the zone cannot be reached
   * @param reason reason of the state, or empty
   * @param tasks tasks of the part
   */
  public record ZonePart(String zone, String state, String reason, List<TaskPart> tasks) {}

  /**
   * Holds the state of a task.
   *
   * @param index index of the task in the job
   * @param state waiting, placed, stopping or ended
   * @param attempt number of the last placement; 0 before the first
   * @param workerId worker of the last placement, or empty
   * @param zone availability zone
   * @param placedAtMillis time of the last placement, or 0
   * @param endedAtMillis time at which the last placement ended, or 0
   * @param end how the task ended, or empty
   * @param answer answer of the task, or the reason of its failure
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
