package org.cicadaford.model;

import java.util.List;

/**
 * Describes a service, batch or gang job, as published or submitted.
 *
 * @param name name that is unique within the configuration
 * @param team team that the job is charged to
 * @param kind kind of the job
 * @param queue queue that accepts the job
 * @param urgency urgency class, which orders placement
 * @param resourcesPerTask resources that each task reserves
 * @param taskCount number of tasks
 * @param zones availability zones where tasks may run; empty means all
 * @param maxTasksPerRack maximum number of tasks in one rack; 0 means no limit
 * @param deadlineMillis time from submission within which the job must end; 0 means none
 * @param expectedRunMillis declared run time of a task; 0 if unknown
 * @param checkpointable whether a task can be stopped with a checkpoint and resumed
 * @param repeatable whether a task that may already have run may be started again
 * @param program program that a worker runs
 */
public record JobDescription(
    String name,
    String team,
    JobKind kind,
    String queue,
    Urgency urgency,
    Resources resourcesPerTask,
    int taskCount,
    List<String> zones,
    int maxTasksPerRack,
    long deadlineMillis,
    long expectedRunMillis,
    boolean checkpointable,
    boolean repeatable,
    String program) {

  /** Maximum number of tasks of a job. */
  public static final int MAX_TASK_COUNT = 10_000;

  /** Copies the list of zones. */
  public JobDescription {
    zones = List.copyOf(zones);
  }

  /** Returns whether tasks may run in {@code zone}. */
  public boolean allowsZone(String zone) {
    return zones.isEmpty() || zones.contains(zone);
  }
}
