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

/** Workers that may get tasks now, by service, label and free room. */
final class UsableWorkers {

  /** Label under which all workers of a service are found. */
  private static final String ANY_LABEL = "";

  /** Workers of a service that have a label. */
  private record Pool(String service, String label) {}

  /** A worker as it is filed in the trees. */
  private record Filed(ListedWorker listing, long millicores, long mebibytes) {}

  private final CellState state;
  private final Map<Pool, FreeCapacityTree<Worker>> trees = new HashMap<>();
  private final Map<Worker, Filed> filedByWorker = new HashMap<>();
  private final Set<Worker> widened = new LinkedHashSet<>();
  private boolean grown;
  private int listedCount;
  private SilenceDetector silence = SilenceDetector.NONE;

  UsableWorkers(CellState state) {
    this.state = state;
  }

  /** Looks at all workers again, as time alone makes some usable and others not. */
  void tick(long nowMillis) {
    silence = new SilenceDetector(state.workers().values(), nowMillis);
    listedCount = 0;
    for (Worker worker : state.workers().values()) {
      refresh(worker, nowMillis);
      listedCount += worker.listed() ? 1 : 0;
    }
    filedByWorker
        .keySet()
        .removeIf(worker -> state.workers().get(worker.id()) != worker && unfile(worker));
  }

  private boolean unfile(Worker worker) {
    Filed filed = filedByWorker.get(worker);
    pools(filed.listing())
        .forEach(pool -> trees.get(pool).remove(worker, filed.millicores(), filed.mebibytes()));
    return true;
  }

  /** Files a worker anew after something about it has changed. */
  void refresh(Worker worker, long nowMillis) {
    Filed before = filedByWorker.get(worker);
    Filed after = usable(worker, nowMillis) ? filed(worker) : null;
    if (same(before, after)) {
      return;
    }
    if (before != null) {
      unfile(worker);
      filedByWorker.remove(worker);
    }
    if (after != null) {
      for (Pool pool : pools(after.listing())) {
        trees
            .computeIfAbsent(pool, key -> new FreeCapacityTree<>(Worker::id))
            .insert(worker, after.millicores(), after.mebibytes());
      }
      filedByWorker.put(worker, after);
      grown |= before == null;
      if (before == null || hasMoreRoom(before, after)) {
        widened.add(worker);
      }
    }
  }

  private static boolean same(Filed before, Filed after) {
    if (before == null || after == null) {
      return before == after;
    }
    return before.listing() == after.listing()
        && before.millicores() == after.millicores()
        && before.mebibytes() == after.mebibytes();
  }

  private static boolean hasMoreRoom(Filed before, Filed after) {
    return after.millicores() > before.millicores()
        || after.mebibytes() > before.mebibytes()
        || after.listing() != before.listing();
  }

  private static Filed filed(Worker worker) {
    Resources free = worker.free();
    return new Filed(worker.listing(), free.processorsMillicores(), free.memoryMebibytes());
  }

  private static List<Pool> pools(ListedWorker listing) {
    List<Pool> pools = new ArrayList<>();
    pools.add(new Pool(listing.service(), ANY_LABEL));
    listing.labels().forEach(label -> pools.add(new Pool(listing.service(), label)));
    pools.add(new Pool(listing.service(), zoneLabel(listing.zone())));
    return pools;
  }

  /** Returns the label under which the workers of a zone are found; no worker states it. */
  private static String zoneLabel(String zone) {
    return "\0zone " + zone;
  }

  private boolean usable(Worker worker, long nowMillis) {
    ListedWorker listing = worker.listing();
    return worker.listed()
        && listing.incarnation() == worker.incarnation()
        && !listing.draining()
        && !state.zonesOut().contains(listing.zone())
        && worker.reachable(nowMillis, state.settings().unreachableMillis())
        && !worker.quarantined(nowMillis)
        && !silence.suspects(worker);
  }

  /** Returns the workers that have become usable or have more room, once. */
  List<Worker> takeWidened() {
    List<Worker> taken = new ArrayList<>(widened);
    widened.clear();
    taken.removeIf(worker -> !contains(worker));
    return taken;
  }

  /** Returns whether a worker has become usable since the last call. */
  boolean takeGrown() {
    boolean taken = grown;
    grown = false;
    return taken;
  }

  /** Returns whether at least half of the listed workers may get tasks. */
  boolean mostAreKnown() {
    return 2 * count() >= listedCount;
  }

  boolean anyWidened() {
    return !widened.isEmpty();
  }

  /** Notes that steps may be placed on a worker that were kept off before. */
  void widen(Worker worker) {
    widened.add(worker);
  }

  /** Returns the number of workers that may get tasks. */
  int count() {
    return filedByWorker.size();
  }

  private boolean contains(Worker worker) {
    return filedByWorker.containsKey(worker);
  }

  /** Returns whether a worker may get tasks and belongs to a service. */
  boolean contains(Worker worker, String service) {
    Filed filed = filedByWorker.get(worker);
    return filed != null && filed.listing().service().equals(service);
  }

  /**
   * Returns the allowed worker of a zone with the least free room that holds {@code demand}, or
   * null.
   */
  Worker bestFitInZone(String service, String zone, Resources demand, Predicate<Worker> allowed) {
    return bestFit(service, zoneLabel(zone), demand, allowed);
  }

  /** Returns the allowed worker with the least free room that holds {@code demand}, or null. */
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
