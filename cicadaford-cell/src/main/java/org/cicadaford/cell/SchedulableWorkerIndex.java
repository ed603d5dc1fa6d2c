package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.cicadaford.model.Resources;
import org.cicadaford.model.capacity.FreeCapacityTree;

/** Indexes the schedulable workers by service, label and free capacity. */
final class SchedulableWorkerIndex {

  /** Label that selects all workers of a service. */
  private static final String ANY_LABEL = "";

  /** Key of the workers of a service that have a label. */
  private record Pool(String service, String label) {}

  /** Attributes under which a worker is indexed. */
  private record IndexEntry(ListedWorker listing, long millicores, long mebibytes) {}

  private final CellState state;
  private final Map<Pool, FreeCapacityTree<Worker>> trees = new HashMap<>();
  private final Map<Worker, IndexEntry> entryByWorker = new HashMap<>();
  private final Set<Worker> withNewCapacity = new LinkedHashSet<>();
  private boolean workerAdded;
  private int listedCount;
  private UnreachableWorkerDetector unreachableDetector = UnreachableWorkerDetector.NONE;

  SchedulableWorkerIndex(CellState state) {
    this.state = state;
  }

  /** Updates all workers, since elapsed time changes which ones are schedulable. */
  void tick(long nowMillis) {
    unreachableDetector = new UnreachableWorkerDetector(state.workers().values(), nowMillis);
    listedCount = 0;
    for (Worker worker : state.workers().values()) {
      refresh(worker, nowMillis);
      listedCount += worker.listed() ? 1 : 0;
    }
    entryByWorker
        .keySet()
        .removeIf(worker -> state.workers().get(worker.id()) != worker && removeFromIndex(worker));
  }

  private boolean removeFromIndex(Worker worker) {
    IndexEntry indexEntry = entryByWorker.get(worker);
    pools(indexEntry.listing())
        .forEach(
            pool ->
                trees.get(pool).remove(worker, indexEntry.millicores(), indexEntry.mebibytes()));
    return true;
  }

  /** Updates the index entry of a worker. */
  void refresh(Worker worker, long nowMillis) {
    IndexEntry before = entryByWorker.get(worker);
    IndexEntry after = isSchedulable(worker, nowMillis) ? indexEntry(worker) : null;
    if (same(before, after)) {
      return;
    }
    if (before != null) {
      removeFromIndex(worker);
      entryByWorker.remove(worker);
    }
    if (after != null) {
      for (Pool pool : pools(after.listing())) {
        trees
            .computeIfAbsent(pool, key -> new FreeCapacityTree<>(Worker::id))
            .insert(worker, after.millicores(), after.mebibytes());
      }
      entryByWorker.put(worker, after);
      workerAdded |= before == null;
      if (before == null || hasMoreCapacity(before, after)) {
        withNewCapacity.add(worker);
      }
    }
  }

  private static boolean same(IndexEntry before, IndexEntry after) {
    if (before == null || after == null) {
      return before == after;
    }
    return before.listing() == after.listing()
        && before.millicores() == after.millicores()
        && before.mebibytes() == after.mebibytes();
  }

  private static boolean hasMoreCapacity(IndexEntry before, IndexEntry after) {
    return after.millicores() > before.millicores()
        || after.mebibytes() > before.mebibytes()
        || after.listing() != before.listing();
  }

  private static IndexEntry indexEntry(Worker worker) {
    Resources free = worker.free();
    return new IndexEntry(worker.listing(), free.processorsMillicores(), free.memoryMebibytes());
  }

  private static List<Pool> pools(ListedWorker listing) {
    List<Pool> pools = new ArrayList<>();
    pools.add(new Pool(listing.service(), ANY_LABEL));
    listing.labels().forEach(label -> pools.add(new Pool(listing.service(), label)));
    pools.add(new Pool(listing.service(), zoneLabel(listing.zone())));
    return pools;
  }

  /** Returns an internal label for the workers of a zone; no worker declares it. */
  private static String zoneLabel(String zone) {
    return "\0zone " + zone;
  }

  private boolean isSchedulable(Worker worker, long nowMillis) {
    ListedWorker listing = worker.listing();
    return worker.listed()
        && listing.incarnation() == worker.incarnation()
        && !listing.draining()
        && !state.zonesOut().contains(listing.zone())
        && worker.reachable(nowMillis, state.settings().unreachableMillis())
        && !worker.quarantine().quarantined(nowMillis)
        && worker.startSurvival().isolated().isEmpty()
        && !worker.quarantine().probeRuns(worker.placements().values())
        && !unreachableDetector.excludes(worker);
  }

  /** Returns and clears the workers that became schedulable or have more free capacity. */
  List<Worker> takeWorkersWithNewCapacity() {
    List<Worker> taken = new ArrayList<>(withNewCapacity);
    withNewCapacity.clear();
    taken.removeIf(worker -> !contains(worker));
    return taken;
  }

  /** Returns whether a worker has become schedulable since the last call. */
  boolean takeWorkerAdded() {
    boolean taken = workerAdded;
    workerAdded = false;
    return taken;
  }

  /** Returns whether at least half of the listed workers are schedulable. */
  boolean majoritySchedulable() {
    return 2 * count() >= listedCount;
  }

  boolean anyNewCapacity() {
    return !withNewCapacity.isEmpty();
  }

  /** Marks a worker as open again to steps that it was reserved against. */
  void markNewCapacity(Worker worker) {
    withNewCapacity.add(worker);
  }

  /** Returns the number of schedulable workers. */
  int count() {
    return entryByWorker.size();
  }

  /** Returns whether at least half of a resource of the workers of a service is in use. */
  boolean halfInUse(String service) {
    long freeMillicores = 0;
    long millicores = 0;
    long freeMebibytes = 0;
    long mebibytes = 0;
    for (IndexEntry entry : entryByWorker.values()) {
      if (entry.listing().service().equals(service)) {
        freeMillicores += entry.millicores();
        millicores += entry.listing().capacity().processorsMillicores();
        freeMebibytes += entry.mebibytes();
        mebibytes += entry.listing().capacity().memoryMebibytes();
      }
    }
    return 2 * freeMillicores <= millicores || 2 * freeMebibytes <= mebibytes;
  }

  private boolean contains(Worker worker) {
    return entryByWorker.containsKey(worker);
  }

  /** Returns whether a worker is schedulable and belongs to a service. */
  boolean contains(Worker worker, String service) {
    IndexEntry indexEntry = entryByWorker.get(worker);
    return indexEntry != null && indexEntry.listing().service().equals(service);
  }

  /** Returns the allowed worker of a zone with the least free room for {@code demand}, or null. */
  Worker bestFitInZone(String service, String zone, Resources demand, Predicate<Worker> allowed) {
    return bestFit(service, zoneLabel(zone), demand, allowed);
  }

  /** Returns the allowed worker with the least free room for {@code demand}, or null. */
  Worker bestFit(String service, String label, Resources demand, Predicate<Worker> allowed) {
    FreeCapacityTree<Worker> tree = trees.get(new Pool(service, label));
    if (tree == null) {
      return null;
    }
    return tree.findBestFit(
        demand.processorsMillicores(),
        demand.memoryMebibytes(),
        worker -> demand.fitsIn(worker.free()) && allowed.test(worker));
  }

  /** Returns up to {@code limit} allowed workers, those with the most free processors first. */
  List<Worker> largest(String service, String label, int limit, Predicate<Worker> allowed) {
    List<Worker> found = new ArrayList<>();
    if (limit > 0) {
      visitLargest(
          service,
          label,
          worker -> {
            if (allowed.test(worker)) {
              found.add(worker);
            }
            return found.size() < limit;
          });
    }
    return found;
  }

  /** Visits the workers of a zone, those with the most free processors first. */
  void visitLargestInZone(String service, String zone, Predicate<Worker> visitor) {
    visitLargest(service, zoneLabel(zone), visitor);
  }

  /** Visits workers, those with the most free processors first, until one returns false. */
  void visitLargest(String service, String label, Predicate<Worker> visitor) {
    FreeCapacityTree<Worker> tree = trees.get(new Pool(service, label));
    if (tree != null) {
      tree.visitLargestFirst(visitor);
    }
  }
}
