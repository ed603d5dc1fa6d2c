package org.cicadaford.cell;

import java.util.List;
import org.cicadaford.model.Resources;

/**
 * Describes one step of a job: a number of tasks that are alike.
 *
 * @param taskCount number of tasks
 * @param demand what each task reserves
 * @param estimateMillis rough run time of a task in milliseconds; may be far off
 * @param after indexes of the steps whose tasks must all be done first
 * @param checkpointing whether tasks can resume from a checkpoint
 * @param gang whether the tasks run only all together
 * @param rackLocal whether a gang is slowed down when it spans several racks
 * @param requiredLabel label that a worker must have, or an empty string
 * @param dataRack rack that holds the data, or an empty string
 * @param maxTasksPerWorker largest number of tasks on one worker, or 0 for no limit
 * @param speculative whether copies of a task may run in parallel
 * @param longRunning whether tasks run until the job is cancelled
 * @param image name of the program; tasks of one image behave alike
 * @param targetMillis bound of a serving task's tail latency in milliseconds, or 0
 * @param fills whether tasks use only processor time that other tasks leave
 * @param maxUnavailable number of tasks that the scheduler may take down at a time, or 0
 */
public record StepSpec(
    int taskCount,
    Resources demand,
    long estimateMillis,
    List<Integer> after,
    boolean checkpointing,
    boolean gang,
    boolean rackLocal,
    String requiredLabel,
    String dataRack,
    int maxTasksPerWorker,
    boolean speculative,
    boolean longRunning,
    String image,
    long targetMillis,
    boolean fills,
    int maxUnavailable) {

  /** Returns how many tasks have room in {@code free} on one worker. */
  int slotsIn(Resources free) {
    Resources each = reservation();
    int most = maxTasksPerWorker > 0 ? Math.min(maxTasksPerWorker, taskCount) : taskCount;
    int slots = 0;
    Resources left = free;
    while (slots < most && each.fitsIn(left)) {
      left = left.minus(each);
      slots++;
    }
    return slots;
  }

  /** Returns what a task takes from a worker's capacity. */
  public Resources reservation() {
    if (!fills) {
      return demand;
    }
    return new Resources(0, demand.memoryMebibytes(), demand.acceleratorCount());
  }
}
