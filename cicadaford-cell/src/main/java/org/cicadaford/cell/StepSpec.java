package org.cicadaford.cell;

import java.util.List;
import org.cicadaford.model.Resources;

/**
 * Describes a step of a job: a number of identical tasks.
 *
 * @param taskCount number of tasks
 * @param demand resources that each task reserves
 * @param estimateMillis estimated duration of a task in milliseconds; may be far off
 * @param after indexes of the steps that must be done first
 * @param checkpointing whether tasks can resume from a checkpoint
 * @param gang whether all tasks must run at the same time
 * @param rackLocal whether a gang is slower when it spans several racks
 * @param requiredLabel label that a worker must have, or an empty string
 * @param dataRack rack that holds the input data, or an empty string
 * @param maxTasksPerWorker maximum number of tasks on one worker, or 0 for no limit
 * @param speculative whether copies of a task may run in parallel
 * @param longRunning whether tasks run until the job is cancelled
 * @param image name of the program; tasks of the same image behave alike
 * @param targetMillis target tail latency of a serving task in milliseconds, or 0
 * @param fills whether tasks use only processor time that other tasks leave
 * @param maxUnavailable number of tasks that the scheduler may make unavailable at a time, or 0
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

  /** Returns how many tasks fit into the free capacity of one worker. */
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

  /** Returns the resources that a task reserves on its worker. */
  public Resources reservation() {
    if (!fills) {
      return demand;
    }
    return new Resources(0, demand.memoryMebibytes(), demand.acceleratorCount());
  }
}
