package org.cicadaford.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cicadaford.decision.WaitingIndex.SizeClass;
import org.cicadaford.model.Resources;
import org.cicadaford.model.capacity.FreeCapacityTree;

/**
 * Indexes the workers of a zone by free capacity. Subtracts what the current decision places from
 * the recorded state; each decision starts again from the recorded state.
 */
final class WorkerIndex {

  private final PlacementPolicy policy;
  private final double headroomFraction;
  private final UniformRandomProvider random;
  private final Map<String, WorkerSlot> slotsById = new TreeMap<>();
  private final FreeCapacityTree<WorkerSlot> noAcceleratorTree = newTree();

  /** Workers with accelerators, by the capacity that tasks without accelerators may use. */
  private final FreeCapacityTree<WorkerSlot> acceleratorSpareTree = newTree();

  private final FreeCapacityTree<WorkerSlot> headroomTree = newTree();
  private final FreeCapacityTree<WorkerSlot> reservedTree = newTree();

  /** Workers with accelerators, by the number of free accelerators. */
  private final Map<Integer, FreeCapacityTree<WorkerSlot>> acceleratorTrees = new TreeMap<>();

  private final Map<String, WorkerSlot> quarantinedById = new TreeMap<>();
  private final Set<WorkerSlot> tentativelyChanged = new HashSet<>();

  /** Smallest size of each class that found no worker since capacity was last freed. */
  private final Map<SizeClass, Resources> unplaceableSizes = new HashMap<>();

  private List<WorkerSlot> slotsInOrder = List.of();
  private List<ListedWorker> lastList = List.of();
  private Set<String> listedIds = Set.of();
  private long listChangedAtMillis;
  private long seenRevision;
  private Resources usableCapacity = Resources.NONE;

  WorkerIndex(PlacementPolicy policy, double headroomFraction) {
    this.policy = policy;
    this.headroomFraction = headroomFraction;
    long seed = policy instanceof PlacementPolicy.RandomFit randomFit ? randomFit.seed() : 0;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  private static FreeCapacityTree<WorkerSlot> newTree() {
    return new FreeCapacityTree<>(slot -> slot.workerId);
  }

  /**
   * Updates the index to the recorded state and discards the tentative placements of the last
   * decision.
   */
  void sync(OwnerInputs inputs, long nowMillis) {
    boolean listChanged = updateList(inputs.listedWorkers(), nowMillis);
    WorkerChangeLog changeLog = inputs.zone().workerChangeLog();
    boolean membersChanged = false;
    Set<String> changed = new HashSet<>(changeLog.changedSince(seenRevision));
    tentativelyChanged.forEach(slot -> changed.add(slot.workerId));
    tentativelyChanged.clear();
    seenRevision = changeLog.revision();
    for (String workerId : changed) {
      membersChanged |= applyStatus(workerId, inputs.zone().worker(workerId).orElse(null));
    }
    if (membersChanged || listChanged) {
      rebuildMembers();
    }
  }

  private boolean updateList(List<ListedWorker> listed, long nowMillis) {
    if (listed == lastList || listed.equals(lastList)) {
      return false;
    }
    boolean same = new HashSet<>(listed).equals(new HashSet<>(lastList));
    lastList = listed;
    if (same) {
      return false;
    }
    listChangedAtMillis = nowMillis;
    listedIds = new HashSet<>();
    listed.stream().filter(w -> !w.leaving()).forEach(w -> listedIds.add(w.workerId()));
    return true;
  }

  private boolean applyStatus(String workerId, WorkerStatus status) {
    WorkerSlot slot = slotsById.get(workerId);
    if (status == null) {
      if (slot != null) {
        slot.moveTo(null, null);
        slotsById.remove(workerId);
        quarantinedById.remove(workerId);
      }
      return slot != null;
    }
    boolean isNew = slot == null;
    if (isNew) {
      slot = new WorkerSlot(workerId);
      slotsById.put(workerId, slot);
    }
    Resources freeBefore = slot.free();
    Resources capacityBefore = isNew ? Resources.NONE : slot.capacity();
    boolean quarantinedBefore = !isNew && slot.isQuarantined();
    slot.applyStatus(status);
    if (!slot.free().fitsIn(freeBefore)) {
      unplaceableSizes.clear();
    }
    updateTrees(slot);
    return isNew
        || !capacityBefore.equals(slot.capacity())
        || quarantinedBefore != slot.isQuarantined();
  }

  private void rebuildMembers() {
    unplaceableSizes.clear();
    slotsInOrder = List.copyOf(slotsById.values());
    quarantinedById.clear();
    usableCapacity = Resources.NONE;
    List<WorkerSlot> withoutAccelerators = new ArrayList<>();
    for (WorkerSlot slot : slotsInOrder) {
      slot.setListed(listedIds.contains(slot.workerId));
      slot.setHeadroom(false);
      if (slot.isQuarantined()) {
        quarantinedById.put(slot.workerId, slot);
      }
      if (slot.isUsable()) {
        usableCapacity = usableCapacity.plus(slot.capacity());
        if (!slot.hasAccelerators()) {
          withoutAccelerators.add(slot);
        }
      }
    }
    chooseHeadroom(withoutAccelerators);
    slotsInOrder.forEach(this::updateTrees);
  }

  /**
   * Chooses workers by a hash of their ids, so that a change of the list changes few of the
   * choices.
   */
  private void chooseHeadroom(List<WorkerSlot> withoutAccelerators) {
    int count = (int) (withoutAccelerators.size() * headroomFraction);
    if (count > 0) {
      withoutAccelerators.sort(
          Comparator.comparingInt(
                  (WorkerSlot s) -> FreeCapacityTree.scrambleHash(s.workerId.hashCode()))
              .thenComparing(s -> s.workerId));
      withoutAccelerators.subList(0, count).forEach(slot -> slot.setHeadroom(true));
    }
  }

  private void updateTrees(WorkerSlot slot) {
    if (!slot.isUsable()) {
      slot.moveTo(null, null);
    } else if (!slot.reservedForJob().isEmpty()) {
      slot.moveTo(reservedTree, null);
    } else if (slot.isHeadroom()) {
      slot.moveTo(headroomTree, null);
    } else if (slot.hasAccelerators()) {
      int freeCount = slot.free().acceleratorCount();
      slot.moveTo(
          acceleratorTrees.computeIfAbsent(freeCount, n -> newTree()), acceleratorSpareTree);
    } else {
      slot.moveTo(noAcceleratorTree, null);
    }
  }

  /** Subtracts a tentative placement from a worker's free capacity. */
  void takeCapacity(WorkerSlot slot, Resources size) {
    slot.takeCapacity(size);
    tentativelyChanged.add(slot);
    updateTrees(slot);
  }

  /** Reverts a tentative placement. */
  void returnCapacity(WorkerSlot slot, Resources size) {
    slot.returnCapacity(size);
    updateTrees(slot);
  }

  /**
   * Reserves a worker's free capacity for a gang job, or ends the reservation if the id is empty.
   */
  void reserve(WorkerSlot slot, String jobId) {
    slot.setReservedForJob(jobId);
    if (jobId.isEmpty()) {
      unplaceableSizes.clear();
    }
    if (slotsById.get(slot.workerId) == slot) {
      updateTrees(slot);
    }
  }

  /**
   * Returns a worker with room for a task, or null.
   *
   * @param urgent whether workers kept free for urgent work, or reserved for gang jobs, may be used
   */
  WorkerSlot find(Resources size, boolean urgent, Predicate<WorkerSlot> allowed) {
    return switch (policy) {
      case PlacementPolicy.BestFit bestFit -> findBest(size, urgent, allowed);
      case PlacementPolicy.FirstFit firstFit -> findFrom(0, size, urgent, allowed);
      case PlacementPolicy.RandomFit randomFit ->
          slotsInOrder.isEmpty()
              ? null
              : findFrom(random.nextInt(slotsInOrder.size()), size, urgent, allowed);
    };
  }

  private WorkerSlot findFrom(
      int start, Resources size, boolean urgent, Predicate<WorkerSlot> allowed) {
    for (int step = 0; step < slotsInOrder.size(); step++) {
      WorkerSlot slot = slotsInOrder.get((start + step) % slotsInOrder.size());
      boolean permitted = urgent || !slot.isHeadroom() && slot.reservedForJob().isEmpty();
      if (permitted && slot.isUsable() && size.fitsIn(slot.free()) && allowed.test(slot)) {
        return slot;
      }
    }
    return null;
  }

  private WorkerSlot findBest(Resources size, boolean urgent, Predicate<WorkerSlot> allowed) {
    if (size.acceleratorCount() > 0) {
      return findAccelerators(size, allowed);
    }
    WorkerSlot found = smallest(noAcceleratorTree, size, allowed);
    if (found == null) {
      found = smallest(acceleratorSpareTree, size, allowed);
    }
    if (found == null && urgent) {
      found = smallest(headroomTree, size, allowed);
    }
    if (found == null && urgent) {
      found = smallest(reservedTree, size, allowed);
    }
    return found;
  }

  private WorkerSlot findAccelerators(Resources size, Predicate<WorkerSlot> allowed) {
    for (Map.Entry<Integer, FreeCapacityTree<WorkerSlot>> entry : acceleratorTrees.entrySet()) {
      if (entry.getKey() >= size.acceleratorCount()) {
        WorkerSlot found = smallest(entry.getValue(), size, allowed);
        if (found != null) {
          return found;
        }
      }
    }
    return null;
  }

  private static WorkerSlot smallest(
      FreeCapacityTree<WorkerSlot> tree, Resources size, Predicate<WorkerSlot> allowed) {
    return tree.findBestFit(size.processorsMillicores(), size.memoryMebibytes(), allowed);
  }

  /** Returns a worker reserved for the gang job that has room, or null. */
  WorkerSlot findReserved(Resources size, String jobId, Predicate<WorkerSlot> allowed) {
    return smallest(
        reservedTree,
        size,
        slot ->
            slot.reservedForJob().equals(jobId) && size.fitsIn(slot.free()) && allowed.test(slot));
  }

  /** Returns a quarantined worker that is due for a probe and has room, or null. */
  WorkerSlot findProbe(Resources size, long nowMillis) {
    for (WorkerSlot slot : quarantinedById.values()) {
      if (slot.isProbeDue(nowMillis) && size.fitsIn(slot.free())) {
        return slot;
      }
    }
    return null;
  }

  /**
   * Returns the maximum free processors and the maximum free memory, which may belong to different
   * workers, among the workers that a kind of work may use. Quarantined workers count, as they may
   * be due for a probe.
   */
  SizeClass mostFree(boolean urgent, boolean accelerated) {
    boolean anyWorker = !(policy instanceof PlacementPolicy.BestFit);
    List<FreeCapacityTree<WorkerSlot>> trees =
        new ArrayList<>(List.of(noAcceleratorTree, acceleratorSpareTree));
    if (accelerated || anyWorker) {
      trees.addAll(acceleratorTrees.values());
    }
    if (urgent) {
      trees.addAll(List.of(headroomTree, reservedTree));
    }
    long millicores = 0;
    long mebibytes = 0;
    for (FreeCapacityTree<WorkerSlot> tree : trees) {
      millicores = Math.max(millicores, tree.maxFreeMillicores());
      mebibytes = Math.max(mebibytes, tree.maxFreeMebibytes());
    }
    for (WorkerSlot slot : quarantinedById.values()) {
      millicores = Math.max(millicores, slot.free().processorsMillicores());
      mebibytes = Math.max(mebibytes, slot.free().memoryMebibytes());
    }
    return SizeClass.of(new Resources(millicores, mebibytes, 0), 0);
  }

  /** Returns whether a task of at most this size found no worker since capacity was last freed. */
  boolean isKnownUnplaceable(Resources size) {
    Resources failed = unplaceableSizes.get(SizeClass.of(size, 0));
    return failed != null && failed.fitsIn(size);
  }

  /** Records that a task that is not urgent and has no limit per rack found no worker. */
  void recordUnplaceable(Resources size) {
    unplaceableSizes.merge(
        SizeClass.of(size, 0), size, (old, added) -> added.fitsIn(old) ? added : old);
  }

  /** Returns all workers in the order of their ids. */
  List<WorkerSlot> slots() {
    return slotsInOrder;
  }

  WorkerSlot slot(String workerId) {
    return slotsById.get(workerId);
  }

  Collection<ListedWorker> listedWorkers() {
    return Collections.unmodifiableCollection(lastList);
  }

  /** Returns the total capacity of all workers that may get tasks. */
  Resources usableCapacity() {
    return usableCapacity;
  }

  /** Returns the time at which the list of workers last changed. */
  long listChangedAtMillis() {
    return listChangedAtMillis;
  }
}
