package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.cicadaford.model.Resources;

/** Runs simulated cells whose workers change their capacities while other faults occur. */
final class CapacityScenarios {

  private static final int WORKERS = 4;
  private static final int ROUNDS = 8;
  private static final int JOBS_PER_ROUND = 5;
  private static final Resources FULL = new Resources(16_000, 32_000, 0);

  private CapacityScenarios() {}

  private static SimulatedCell cell(long seed) {
    SimulatedCell cell =
        new SimulatedCell(seed, SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE), WORKERS);
    cell.faults = new SimulatedCell.Faults(0.03, 0.06, 0.02);
    return cell;
  }

  /** Changes the capacity of a worker; the platform lists it up to a heartbeat later. */
  static void change(SimulatedCell cell, String workerId, Resources capacity, long listedMillis) {
    SimulatedWorker worker = cell.workers.get(workerId);
    boolean smaller = !worker.capacity.current().fitsIn(capacity);
    cell.incident((smaller ? "shrunk " : "grown ") + workerId + " to " + capacity);
    worker.capacity.change(capacity, cell.nowMillis);
    cell.after(listedMillis, worker.capacity::publish);
  }

  private static void changeAny(SimulatedCell cell) {
    long listedMillis = cell.random.nextInt((int) SimulatedCapacity.HEARTBEAT_MILLIS);
    // A third of the changes restores the full capacity, so that work goes on.
    Resources capacity =
        cell.random.nextInt(3) == 0
            ? FULL
            : new Resources(
                1_000L * cell.random.nextInt(17), cell.random.nextBoolean() ? 32_000 : 150, 0);
    change(cell, "w" + cell.random.nextInt(WORKERS), capacity, listedMillis);
  }

  /**
   * Submits more work than fits, changes capacities and lets a fault occur in each round, and
   * restores the capacities at the end.
   */
  private static SimulatedCell run(SimulatedCell cell, String name, Consumer<SimulatedCell> fault) {
    List<String> ids = new ArrayList<>();
    for (int round = 0; round < ROUNDS; round++) {
      for (int index = 0; index < JOBS_PER_ROUND; index++) {
        String id = name + "-" + round + "-" + index;
        long work = 300 + cell.random.nextInt(index == 0 ? 9_000 : 2_500);
        int tasks = 1 + cell.random.nextInt(4);
        long millicores = 2_000 + 1_000L * cell.random.nextInt(4);
        cell.submit(id, SimulatedJobs.step(tasks, millicores, work, index == 1));
        ids.add(id);
        changeAny(cell);
        cell.run(cell.random.nextInt(400));
      }
      // Runs that are being stopped still use the capacity of their worker.
      cell.coordinator.cancel(ids.get(cell.random.nextInt(ids.size())), cell.moment());
      fault.accept(cell);
      cell.run(cell.random.nextInt(3_000));
    }
    cell.workers.keySet().forEach(id -> change(cell, id, FULL, 0));
    cell.run(40_000);
    return cell;
  }

  /** Answers are lost and orders are late. */
  static SimulatedCell lostAnswersAndLateOrders(long seed) {
    SimulatedCell cell = cell(seed);
    cell.network.lateRenewal = 0.05;
    cell.network.lateStop = 0.1;
    cell.network.pausedRelay = 0.1;
    return run(cell, "capacity" + seed, c -> {});
  }

  /** The coordinator is replaced, and the replaced one continues to send orders for a time. */
  static SimulatedCell takeovers(long seed, boolean fencing) {
    SimulatedCell cell = cell(seed);
    cell.workers.values().forEach(worker -> worker.fencing = fencing);
    return run(
        cell,
        "capacitytakeover" + seed + fencing,
        c ->
            c.takeOverWhileSending(
                c.random.nextBoolean(),
                5 + c.random.nextInt(1_500),
                1_000 + c.random.nextInt(4_000)));
  }

  /** The store takes no appends for up to 9 s, so that starts wait while capacities change. */
  static SimulatedCell storeOutages(long seed) {
    SimulatedCell cell = cell(seed);
    return run(
        cell,
        "capacitystore" + seed,
        c -> {
          long millis = 100 + c.random.nextInt(8_900);
          c.incident("store-down for " + millis);
          c.storeDown = true;
          c.after(millis, () -> c.storeDown = false);
        });
  }

  /** The worker list cannot be read for up to 9 s, with or without appends and takeovers. */
  static SimulatedCell unreadableLists(long seed) {
    SimulatedCell cell = cell(seed);
    return run(
        cell,
        "capacitylist" + seed,
        c -> {
          long millis = 100 + c.random.nextInt(8_900);
          c.incident("list-unreadable for " + millis);
          c.listUnreadable = true;
          c.storeDown = c.random.nextInt(3) == 0;
          c.after(
              millis,
              () -> {
                c.listUnreadable = false;
                c.storeDown = false;
              });
          if (c.random.nextInt(3) == 0) {
            c.takeOverWhileSending(c.random.nextBoolean(), 5 + c.random.nextInt(1_500), 2_000);
          }
        });
  }

  /** Workers return under their ids with another kind of capacity, also beside takeovers. */
  static SimulatedCell restartsAsAnotherKind(long seed) {
    SimulatedCell cell = cell(seed);
    return run(
        cell,
        "capacitykind" + seed,
        c -> {
          restart(c, 600);
          if (c.random.nextInt(3) == 0) {
            c.run(c.random.nextInt(700));
            c.takeOver();
          }
        });
  }

  private static void restart(SimulatedCell cell, int maxDownMillis) {
    SimulatedWorker hit = cell.workers.get("w" + cell.random.nextInt(WORKERS));
    if (!hit.up) {
      return;
    }
    long millis = 5 + cell.random.nextInt(maxDownMillis);
    Resources kind = new Resources(4_000L * (1 + cell.random.nextInt(6)), 32_000, 0);
    cell.incident("another-kind " + hit.id + " after " + millis + " " + kind);
    long next = hit.incarnation + 100;
    hit.crash();
    cell.after(millis, () -> hit.restart(next, kind));
  }

  /** Returns the stored jobs that have not ended. */
  static List<String> unfinishedJobs(SimulatedCell cell) {
    return cell.accepted.keySet().stream()
        .filter(id -> cell.coordinator.job(id).stream().noneMatch(job -> job.phase().terminal()))
        .toList();
  }
}
