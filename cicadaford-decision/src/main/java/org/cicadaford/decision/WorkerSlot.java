package org.cicadaford.decision;

import org.cicadaford.model.Resources;
import org.cicadaford.model.capacity.FreeCapacityTree;

/**
 * Holds a worker's free capacity within one scheduling decision, with tentative placements
 * subtracted.
 */
final class WorkerSlot {

  /**
   * Free accelerators per worker for which a proportional part of processors and memory is kept. Of
   * four accelerators, keeping one gives accelerator tasks the same waiting time as keeping all
   * four, and a packing of 0.964 instead of 0.935.
   */
  private static final int KEPT_ACCELERATORS = 1;

  /** Position in a tree, kept so that the entry can be removed after the amounts have changed. */
  record TreeEntry(FreeCapacityTree<WorkerSlot> tree, long millicores, long mebibytes) {}

  final String workerId;
  private WorkerStatus status;
  private Resources free = Resources.NONE;
  private int taskCount;
  private boolean listed;
  private boolean headroom;
  private String reservedForJob = "";
  private TreeEntry mainEntry;
  private TreeEntry spareEntry;

  WorkerSlot(String workerId) {
    this.workerId = workerId;
  }

  void applyStatus(WorkerStatus newStatus) {
    status = newStatus;
    free = newStatus.free();
    taskCount = newStatus.taskCount();
  }

  void takeCapacity(Resources size) {
    free = free.minus(size);
    taskCount++;
  }

  void returnCapacity(Resources size) {
    free = free.plus(size);
    taskCount--;
  }

  Resources capacity() {
    return status.capacity();
  }

  Resources free() {
    return free;
  }

  String rack() {
    return status.rack();
  }

  boolean hasAccelerators() {
    return status.capacity().acceleratorCount() > 0;
  }

  /**
   * Returns what tasks without accelerators may use: processors and memory for {@link
   * #KEPT_ACCELERATORS} free accelerators are held back, so that these stay usable.
   */
  Resources freeWithoutAccelerators() {
    if (!hasAccelerators()) {
      return free;
    }
    Resources capacity = status.capacity();
    int freeCount = Math.min(free.acceleratorCount(), KEPT_ACCELERATORS);
    int count = capacity.acceleratorCount();
    return new Resources(
        Math.max(
            0, free.processorsMillicores() - capacity.processorsMillicores() * freeCount / count),
        Math.max(0, free.memoryMebibytes() - capacity.memoryMebibytes() * freeCount / count),
        0);
  }

  /** Returns whether the worker may get tasks, other than a probe. */
  boolean isUsable() {
    return listed && !status.isQuarantined();
  }

  /** Returns whether the worker is quarantined and may get a probe task now. */
  boolean isProbeDue(long nowMillis) {
    boolean noTentativeTask = taskCount == status.taskCount();
    return listed && status.isQuarantined() && status.admitsTask(nowMillis) && noTentativeTask;
  }

  boolean isQuarantined() {
    return status.isQuarantined();
  }

  void setListed(boolean newListed) {
    listed = newListed;
  }

  boolean isHeadroom() {
    return headroom;
  }

  void setHeadroom(boolean newHeadroom) {
    headroom = newHeadroom;
  }

  /** Returns the gang job that the worker's room is reserved for, or an empty string. */
  String reservedForJob() {
    return reservedForJob;
  }

  void setReservedForJob(String jobId) {
    reservedForJob = jobId;
  }

  /** Moves the slot to other trees; either may be null. */
  void moveTo(
      FreeCapacityTree<WorkerSlot> mainTree, FreeCapacityTree<WorkerSlot> acceleratorSpareTree) {
    mainEntry = move(mainEntry, mainTree, free);
    spareEntry =
        move(
            spareEntry,
            acceleratorSpareTree,
            acceleratorSpareTree == null ? free : freeWithoutAccelerators());
  }

  private TreeEntry move(TreeEntry entry, FreeCapacityTree<WorkerSlot> tree, Resources amounts) {
    long millicores = amounts.processorsMillicores();
    long mebibytes = amounts.memoryMebibytes();
    if (entry != null) {
      if (entry.tree() == tree
          && entry.millicores() == millicores
          && entry.mebibytes() == mebibytes) {
        return entry;
      }
      entry.tree().remove(this, entry.millicores(), entry.mebibytes());
    }
    if (tree == null) {
      return null;
    }
    tree.insert(this, millicores, mebibytes);
    return new TreeEntry(tree, millicores, mebibytes);
  }
}
