package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** Lets tasks crash the workers that start them, and brings crashed workers back. */
final class SimulatedCrashes {

  private static final long CRASH_DELAY_MILLIS = 10;
  private static final long MIN_DOWN_MILLIS = 3_000;
  private static final int DOWN_SPREAD_MILLIS = 801;

  /** Time from an order to its start above which the start was carried out late. */
  private static final long LATE_START_MILLIS = 300;

  /** Heartbeat interval of the platform's example; an entry expires after three without one. */
  private static final int HEARTBEAT_MILLIS = 1_500;

  private static final int EXPIRY_HEARTBEATS = 3;

  /** Crashes under a task after which the protocol lets its job fail. */
  private static final int MIN_CRASHES_TO_GIVE_UP = 2;

  /** The entry of a crashed worker in the platform's list, which expires some seconds later. */
  private record Entry(ListedWorker worker, long untilMillis) {}

  /** Selects, by task name, the tasks that crash each worker that starts them. */
  Predicate<String> crashing = task -> false;

  /** Probability that the start of a task that crashes its worker is not answered. */
  double unansweredStart;

  /** Whether a crashed worker returns under its id instead of under a new one. */
  boolean sameId;

  /**
   * Whether calls to a crashed worker fail at once, because its connections are closed and further
   * ones are refused. Otherwise they time out.
   */
  boolean closedConnections;

  /** Number of start orders of the current coordinator for tasks that crash workers. */
  int orders;

  private final SimulatedCell cell;
  private final SimulatedRules rules;
  private final Map<String, Long> orderedAt = new HashMap<>();
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private int returned;

  SimulatedCrashes(SimulatedCell cell, SimulatedRules rules) {
    this.cell = cell;
    this.rules = rules;
  }

  private static String keyOf(String task, int run) {
    return task + "/" + run;
  }

  /** Records a start order of the current coordinator; those of a replaced one count as late. */
  void ordered(Action.StartTask order, SimulatedNetwork.Sender sender) {
    if (sender.coordinator() == cell.coordinator && crashing.test(order.task())) {
      orders++;
      orderedAt.put(keyOf(order.task(), order.run()), cell.nowMillis);
    }
  }

  /** Lets the worker crash if the task whose start it has carried out crashes workers. */
  void started(SimulatedWorker worker, SimulatedWorker.Run run) {
    if (!crashing.test(run.task)) {
      return;
    }
    Long atMillis = orderedAt.get(keyOf(run.task, run.number));
    if (atMillis != null && cell.nowMillis - atMillis <= LATE_START_MILLIS) {
      rules.crashingTaskStarted(run.task);
    }
    long incarnation = worker.incarnation;
    cell.after(
        CRASH_DELAY_MILLIS,
        () -> {
          if (worker.up && worker.incarnation == incarnation) {
            crash(worker);
          }
        });
  }

  /** Returns whether the worker crashes before it answers the start of a task. */
  boolean losesAnswer(String task) {
    return crashing.test(task) && cell.network.occurs(unansweredStart);
  }

  /** Crashes a worker with all its runs; it returns at the same address after some seconds. */
  void crash(SimulatedWorker worker) {
    cell.incident("crash " + worker.id);
    for (SimulatedWorker.Run run : worker.runs.values()) {
      if (crashing.test(run.task)) {
        cell.trace(run.task, "crash of " + worker.id);
        rules.workerCrashed(run.task);
      }
    }
    long sinceHeartbeatMillis = cell.random.nextInt(HEARTBEAT_MILLIS);
    long expiryMillis = EXPIRY_HEARTBEATS * HEARTBEAT_MILLIS - sinceHeartbeatMillis;
    entries.put(worker.id, new Entry(worker.listing(false, 0), cell.nowMillis + expiryMillis));
    worker.crash();
    long downMillis = MIN_DOWN_MILLIS + cell.random.nextInt(DOWN_SPREAD_MILLIS);
    cell.after(downMillis, () -> bringBack(worker));
  }

  private void bringBack(SimulatedWorker worker) {
    long incarnation = worker.incarnation + 100;
    if (sameId) {
      entries.remove(worker.id);
      worker.restart(incarnation);
      return;
    }
    String id = worker.id.split("-")[0] + "-" + ++returned;
    SimulatedWorker next =
        new SimulatedWorker(id, worker.zone, worker.capacity, worker.clockRate, incarnation);
    next.address = worker.address;
    next.fencing = worker.fencing;
    cell.workers.remove(worker.id);
    cell.workers.put(id, next);
  }

  /** Returns the entries of crashed workers that are still listed. */
  List<ListedWorker> entriesOfCrashedWorkers() {
    entries.values().removeIf(entry -> entry.untilMillis() <= cell.nowMillis);
    return entries.values().stream().map(Entry::worker).toList();
  }

  /** Checks the accepted jobs that have failed. */
  void checkFailedJobs() {
    for (String jobId : cell.accepted.keySet()) {
      if (cell.phaseOf(jobId) != JobPhase.FAILED) {
        continue;
      }
      if (!hasCrashingTask(jobId)) {
        rules.innocentJobFailed(jobId);
      } else if (rules.crashesOf(jobId) < MIN_CRASHES_TO_GIVE_UP) {
        cell.network.count("given up early");
      }
    }
  }

  private boolean hasCrashingTask(String jobId) {
    List<StepSpec> steps = SimulatedJobs.specOf(jobId).steps();
    for (int step = 0; step < steps.size(); step++) {
      for (int index = 0; index < steps.get(step).taskCount(); index++) {
        if (crashing.test(jobId + ".0." + step + "." + index)) {
          return true;
        }
      }
    }
    return false;
  }

  /** Returns the workers that are up. */
  List<SimulatedWorker> workersUp() {
    return new ArrayList<>(cell.workers.values().stream().filter(worker -> worker.up).toList());
  }
}
