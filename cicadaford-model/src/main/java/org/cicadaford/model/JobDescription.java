package org.cicadaford.model;

import java.util.List;

/**
 * Describes one service, batch run or gang job, as published or submitted.
 *
 * @param name name, unique within the configuration
 * @param team team that the work is charged to
 * @param kind kind of work
 * @param queue queue that the work is accepted on
 * @param urgency order in which it is placed
 * @param resourcesPerTask declared size of each task
 * @param taskCount number of tasks
 * @param zones availability zones where tasks may run; empty means all
 * @param maxTasksPerRack largest number of tasks in one rack; 0 means no bound
 * @param deadlineMillis time from submission in which the job must end; 0 means none
 * @param expectedRunMillis declared run time of a task; 0 if not known
 * @param checkpointable whether a task can be stopped with a checkpoint and resumed
 * @param repeatable whether a task may be started again after it may have run
 * @param program what a worker runs
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

  /** Largest number of tasks of one job. */
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
