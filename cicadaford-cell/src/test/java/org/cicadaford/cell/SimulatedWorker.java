package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.cicadaford.model.Resources;

/**
 * Simulates a worker with the rules of the platform for leases, epochs, run numbers and run ends.
 */
final class SimulatedWorker {

  static final long MAX_LEASE_MILLIS = 6_000;
  private static final long STOP_MILLIS = 300;

  /** Work after which a run saves a checkpoint; it also saves one when it is stopped. */
  private static final long CHECKPOINT_MILLIS = 1_000;

  /** Time that a run needs to resume from a checkpoint. */
  private static final long RESTORE_MILLIS = 600;

  /** A run on the worker. */
  static final class Run {
    final String task;
    final int number;
    final long workMillis;
    final boolean fails;
    final Resources reservation;
    final int gangSize;
    final boolean checkpointing;
    long workedMillis;
    private double unroundedMillis;
    long savedMillis;

    /** Whether all members of its gang are running; always true for a run without a gang. */
    boolean complete;

    long stopAtMillis = Long.MAX_VALUE;

    /** Work after which the run fails. */
    long failAtMillis = Long.MAX_VALUE;

    Run(
        String task,
        int number,
        long workMillis,
        boolean fails,
        Resources reservation,
        int gangSize,
        boolean checkpointing,
        String checkpoint) {
      this.task = task;
      this.number = number;
      this.workMillis = workMillis;
      this.fails = fails;
      this.reservation = reservation;
      this.gangSize = gangSize;
      this.checkpointing = checkpointing;
      if (!checkpoint.isEmpty()) {
        savedMillis = Long.parseLong(checkpoint);
        workedMillis = savedMillis - RESTORE_MILLIS;
      }
    }

    /** Returns the run that an order for a task of the step starts. */
    static Run of(Action.StartTask order, StepSpec step, long workMillis, boolean fails) {
      return new Run(
          order.task(),
          order.run(),
          step.longRunning() ? Long.MAX_VALUE : workMillis,
          fails,
          step.reservation(),
          step.gang() ? step.taskCount() : 1,
          step.checkpointing(),
          order.checkpoint());
    }

    private void work(double millis) {
      unroundedMillis += millis;
      long wholeMillis = (long) unroundedMillis;
      workedMillis += wholeMillis;
      unroundedMillis -= wholeMillis;
    }

    private void save(long millis) {
      if (checkpointing) {
        savedMillis = Math.max(savedMillis, millis);
      }
    }

    private String checkpoint() {
      return savedMillis > 0 ? Long.toString(savedMillis) : "";
    }
  }

  /** Returns the step and run number shared by the members of a gang. */
  static String gangKeyOf(Run run) {
    return run.task.substring(0, run.task.lastIndexOf('.')) + "/" + run.number;
  }

  /** Returns the number of running members of each gang on some workers. */
  static Map<String, Integer> countRunsByGang(Collection<SimulatedWorker> workers) {
    Map<String, Integer> present = new HashMap<>();
    for (SimulatedWorker worker : workers) {
      for (Run run : worker.runs.values()) {
        if (run.gangSize > 1) {
          present.merge(gangKeyOf(run), 1, Integer::sum);
        }
      }
    }
    return present;
  }

  final String id;
  final String zone;
  final SimulatedCapacity capacity;
  final double clockRate;
  long incarnation;
  boolean up = true;

  /** Whether orders of an earlier epoch than the highest one received are refused. */
  boolean fencing = true;

  boolean reachable = true;

  /** Whether all starts are refused, as an unhealthy worker does. */
  boolean refusing;

  /** Draws the work after which a started run fails. */
  LongSupplier life = () -> Long.MAX_VALUE;

  /** Factor by which runs take longer than on a worker of normal speed. */
  double slowness = 1;

  /** Whether the platform lists the worker while it is up. */
  boolean listed = true;

  String address;

  /** Labels of the present incarnation. */
  Set<String> labels = Set.of("a");

  /** Runs by task and run number; several runs of a task may be present. */
  final Map<String, Run> runs = new LinkedHashMap<>();

  private final List<ReportedEnd> ends = new ArrayList<>();
  private final Map<String, Integer> closedRuns = new HashMap<>();
  private double clockMillis;
  private long leaseUntilMillis;
  private long highestEpoch;
  private long lastEnd;

  SimulatedWorker(String id, String zone, Resources capacity, double clockRate, long incarnation) {
    this.id = id;
    this.zone = zone;
    this.capacity = new SimulatedCapacity(capacity);
    this.clockRate = clockRate;
    this.incarnation = incarnation;
    this.address = id + ":1";
  }

  private static String keyOf(String task, int number) {
    return task + "/" + number;
  }

  /** Returns whether a run of a task other than the given one is present. */
  boolean hasOtherRun(Run run) {
    return runs.values().stream().anyMatch(other -> other != run && other.task.equals(run.task));
  }

  boolean hasRun(String task, int number) {
    return runs.containsKey(keyOf(task, number));
  }

  ListedWorker listing(boolean draining, long remainingMillis) {
    return new ListedWorker(
        id,
        incarnation,
        "svc",
        address,
        zone,
        draining,
        remainingMillis,
        capacity.listed(),
        labels,
        "rack-" + zone);
  }

  long clock() {
    return (long) clockMillis;
  }

  void crash() {
    up = false;
    runs.clear();
    ends.clear();
    closedRuns.clear();
    leaseUntilMillis = 0;
    highestEpoch = 0;
    lastEnd = 0;
    clockMillis = 0;
  }

  void restart(long newIncarnation) {
    restart(newIncarnation, capacity.current());
  }

  /** Starts a new life of the worker, which may have another kind of capacity. */
  void restart(long newIncarnation, Resources newCapacity) {
    incarnation = newIncarnation;
    capacity.reset(newCapacity);
    up = true;
  }

  /** Advances the time. */
  void advance(long millis, long nowMillis) {
    if (!up) {
      return;
    }
    clockMillis += millis * clockRate;
    if (clock() > leaseUntilMillis) {
      for (Run run : List.copyOf(runs.values())) {
        end(run, EndKind.LAPSED);
      }
    }
    for (Run run : List.copyOf(runs.values())) {
      run.work(run.complete ? millis / slowness : 0);
      run.save(run.workedMillis / CHECKPOINT_MILLIS * CHECKPOINT_MILLIS);
      if (nowMillis >= run.stopAtMillis) {
        run.save(run.workedMillis);
        end(run, EndKind.STOPPED);
      } else if (run.workedMillis >= run.failAtMillis) {
        end(run, EndKind.FAILED);
      } else if (run.workedMillis >= run.workMillis) {
        end(run, run.fails ? EndKind.FAILED : EndKind.DONE);
      }
    }
  }

  /** Advances gangs only while all their members are running, and ends those that have lost one. */
  void updateGangs(Map<String, Integer> presentByGang) {
    for (Run run : List.copyOf(runs.values())) {
      boolean allPresent =
          run.gangSize <= 1 || presentByGang.getOrDefault(gangKeyOf(run), 0) >= run.gangSize;
      if (run.complete && !allPresent) {
        end(run, EndKind.BROKEN);
      }
      run.complete = allPresent;
    }
  }

  private void end(Run run, EndKind kind) {
    runs.remove(keyOf(run.task, run.number));
    closedRuns.merge(run.task, run.number, Math::max);
    ends.add(new ReportedEnd(++lastEnd, run.task, run.number, kind, run.checkpoint()));
  }

  private boolean fenced(long epoch) {
    return fencing && epoch < highestEpoch;
  }

  /** Carries out a start order and returns its outcome. */
  StartOutcome start(Run run, long epoch, long deadlineMillis) {
    if (fenced(epoch)) {
      return StartOutcome.FENCED;
    }
    highestEpoch = Math.max(highestEpoch, epoch);
    boolean late = clock() > deadlineMillis;
    if (!late) {
      extend(deadlineMillis);
    }
    if (hasRun(run.task, run.number)) {
      return StartOutcome.STARTED;
    }
    if (closedRuns.getOrDefault(run.task, 0) >= run.number) {
      return StartOutcome.UNKNOWN;
    }
    if (late || refusing) {
      return StartOutcome.NOT_STARTED;
    }
    run.failAtMillis = life.getAsLong();
    runs.put(keyOf(run.task, run.number), run);
    return StartOutcome.STARTED;
  }

  boolean stop(String task, int number, long epoch, long nowMillis) {
    if (fenced(epoch)) {
      return false;
    }
    highestEpoch = Math.max(highestEpoch, epoch);
    Run present = runs.get(keyOf(task, number));
    if (present != null) {
      present.stopAtMillis = Math.min(present.stopAtMillis, nowMillis + STOP_MILLIS);
    } else {
      closedRuns.merge(task, number, Math::max);
    }
    return true;
  }

  private void extend(long deadlineMillis) {
    leaseUntilMillis =
        Math.max(leaseUntilMillis, Math.min(deadlineMillis, clock() + MAX_LEASE_MILLIS));
  }

  /**
   * Carries out a renewal; returns false if the worker has accepted a higher epoch.
   *
   * @param acknowledged receives the ends that the renewal acknowledges
   */
  boolean renew(long epoch, Action.Renew order, Consumer<ReportedEnd> acknowledged) {
    if (fenced(epoch)) {
      return false;
    }
    highestEpoch = Math.max(highestEpoch, epoch);
    ends.stream().filter(end -> end.number() <= order.acknowledgedEnd()).forEach(acknowledged);
    ends.removeIf(end -> end.number() <= order.acknowledgedEnd());
    if (order.deadlineMillis() > 0) {
      extend(order.deadlineMillis());
    }
    return true;
  }

  WorkerReport report(long sentAtMillis) {
    List<ReportedRun> rows = new ArrayList<>();
    for (Run run : runs.values()) {
      int percent = progressPercent(run);
      rows.add(new ReportedRun(run.task, run.number, run.checkpoint(), percent, 0));
    }
    return new WorkerReport(id, incarnation, clock(), sentAtMillis, rows, List.copyOf(ends), true);
  }

  /** Returns the progress of a run; a long-running one is fully started at once. */
  private static int progressPercent(Run run) {
    return run.workMillis == Long.MAX_VALUE
        ? 100
        : (int) (100 * Math.max(0, run.workedMillis) / Math.max(1, run.workMillis));
  }

  boolean hasUnacknowledgedEnds(long acknowledged) {
    return ends.stream().anyMatch(end -> end.number() > acknowledged);
  }
}
