package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import org.cicadaford.model.Resources;

/** Runs simulated cells under load in which tasks crash their workers, or workers crash. */
final class CrashingTaskScenarios {

  private static final int WORKERS = 12;

  /** Time between jobs; at this rate the load takes about half of the capacity of the cell. */
  private static final int MAX_GAP_MILLIS = 250;

  private static final long LOAD_MILLIS = 12_000;

  /** Time for the remaining work, with the leases of lost workers and several crashes in turn. */
  private static final long DRAIN_MILLIS = 60_000;

  /** Start of the ids of jobs whose tasks with index 0 in each step crash their workers. */
  private static final String CRASHING = "crashing";

  /** A simulated cell and the ids of the jobs that were submitted to it. */
  record Result(SimulatedCell cell, List<String> innocent, List<String> crashing) {

    /** Returns the accepted jobs without a crashing task that have not completed. */
    List<String> incomplete() {
      return accepted(innocent).stream()
          .filter(id -> cell.phaseOf(id) != JobPhase.COMPLETED)
          .toList();
    }

    /** Returns the accepted jobs with a crashing task that have not ended. */
    List<String> unended() {
      return accepted(crashing).stream().filter(id -> !cell.phaseOf(id).terminal()).toList();
    }

    private List<String> accepted(List<String> jobIds) {
      return jobIds.stream().filter(cell.accepted::containsKey).toList();
    }

    /** Returns the number of crashes, the jobs without a crashing task and their times. */
    String figures() {
      List<String> jobs = accepted(innocent);
      long completed = jobs.stream().filter(id -> cell.phaseOf(id) == JobPhase.COMPLETED).count();
      long failed = jobs.stream().filter(id -> cell.phaseOf(id) == JobPhase.FAILED).count();
      long[] millis =
          jobs.stream().filter(cell.ended::containsKey).mapToLong(cell.ended::get).toArray();
      Arrays.sort(millis);
      return "crashes=%d crashingJobs=%d givenUpEarly=%d innocentJobs=%d completed=%.3f failed=%d"
              .formatted(
                  cell.network.countOf("crash"),
                  accepted(crashing).size(),
                  cell.network.countOf("given up early"),
                  jobs.size(),
                  (double) completed / Math.max(1, jobs.size()),
                  failed)
          + " meanMillis=%.0f medianMillis=%d p95Millis=%d maxMillis=%d starts=%d"
              .formatted(
                  Arrays.stream(millis).average().orElse(0),
                  percentile(millis, 50),
                  percentile(millis, 95),
                  percentile(millis, 100),
                  cell.starts);
    }

    private static long percentile(long[] sorted, int percent) {
      return sorted.length == 0 ? 0 : sorted[(sorted.length - 1) * percent / 100];
    }
  }

  /** What a scenario submits and causes after each job of the ordinary load. */
  private record Load(Result result, String name, int[] number) {

    SimulatedCell cell() {
      return result.cell();
    }

    private String submit(boolean crashing, String kind, StepSpec... steps) {
      String id = (crashing ? CRASHING : "innocent") + "_" + kind + "_" + name + "_" + number[0]++;
      cell().submit(id, steps);
      (crashing ? result.crashing() : result.innocent()).add(id);
      return id;
    }

    void submitOrdinary() {
      submit(false, "job", ordinaryStep());
    }

    void submitCrashing() {
      submit(true, "job", ordinaryStep());
    }

    private StepSpec ordinaryStep() {
      int tasks = 1 + cell().random.nextInt(3);
      long millicores = 2_000 + cell().random.nextInt(4_000);
      boolean gang = tasks > 1 && cell().random.nextInt(8) == 0;
      return SimulatedJobs.step(tasks, millicores, 300 + cell().random.nextInt(2_500), gang);
    }

    /** Returns whether to submit a job with a crashing task; the first one is always due. */
    boolean crashingJobDue(int oneIn) {
      return occurs(oneIn) || result.crashing().isEmpty();
    }

    boolean occurs(int oneIn) {
      return cell().random.nextInt(oneIn) == 0;
    }
  }

  private CrashingTaskScenarios() {}

  /** Creates a cell of 12 workers in two racks with tasks that crash their workers. */
  static SimulatedCell cell(long seed, boolean sameId) {
    SimulatedCell cell =
        new SimulatedCell(seed, SimulatedJobs.config(Resources.NONE, AdvicePolicy.NONE), WORKERS);
    cell.crashes.crashing = task -> task.startsWith(CRASHING) && task.endsWith(".0");
    cell.crashes.unansweredStart = 0.2;
    cell.crashes.sameId = sameId;
    cell.crashes.closedConnections = true;
    return cell;
  }

  private static Result run(SimulatedCell cell, String name, Consumer<Load> next) {
    Load load = new Load(new Result(cell, new ArrayList<>(), new ArrayList<>()), name, new int[1]);
    cell.run(2_000);
    long endMillis = cell.nowMillis + LOAD_MILLIS;
    while (cell.nowMillis < endMillis) {
      load.submitOrdinary();
      next.accept(load);
      cell.run(5 + cell.random.nextInt(MAX_GAP_MILLIS));
    }
    cell.run(DRAIN_MILLIS);
    cell.crashes.checkFailedJobs();
    return load.result();
  }

  /** Some jobs have a task that crashes its worker. */
  static Result crashingTasks(long seed, boolean sameId) {
    return run(
        cell(seed, sameId),
        "load" + seed + sameId,
        load -> {
          if (load.crashingJobDue(15)) {
            load.submitCrashing();
          }
        });
  }

  /** The coordinator is replaced, often directly after the start order of a crashing task. */
  static Result takeovers(long seed, boolean sameId) {
    return run(
        cell(seed, sameId),
        "takeover" + seed + sameId,
        load -> {
          if (load.crashingJobDue(12)) {
            load.submitCrashing();
            takeOverAfterNextOrder(load.cell());
          } else if (load.occurs(12)) {
            load.cell().takeOver();
          }
        });
  }

  /** Replaces the coordinator while the next start of a crashing task is in transit. */
  private static void takeOverAfterNextOrder(SimulatedCell cell) {
    int before = cell.crashes.orders;
    for (int step = 0; step < 200 && cell.crashes.orders == before; step++) {
      cell.run(5);
    }
    if (cell.crashes.orders > before) {
      cell.network.count("takeover after an order");
      cell.takeOver();
    }
  }

  /** Answers are lost, orders are late and workers are cut off, also replaced coordinators send. */
  static Result lostAnswers(long seed, boolean sameId) {
    SimulatedCell cell = cell(seed, sameId);
    cell.faults = new SimulatedCell.Faults(0.03, 0.06, 0);
    cell.crashes.unansweredStart = 0.5;
    cell.network.lateRenewal = 0.05;
    cell.network.lateStop = 0.1;
    cell.network.delayedAnswer = 0.1;
    return run(
        cell,
        "lost" + seed + sameId,
        load -> {
          if (load.crashingJobDue(15)) {
            load.submitCrashing();
          }
          if (load.occurs(20)) {
            cutOff(load.cell());
          }
          if (load.occurs(40)) {
            load.cell().takeOverWhileSending(load.occurs(2), 500, 2_000);
          }
        });
  }

  private static SimulatedWorker anyWorkerUp(SimulatedCell cell) {
    List<SimulatedWorker> up = cell.crashes.workersUp();
    return up.isEmpty() ? null : up.get(cell.random.nextInt(up.size()));
  }

  private static void cutOff(SimulatedCell cell) {
    SimulatedWorker cut = anyWorkerUp(cell);
    if (cut != null) {
      long millis = 50 + cell.random.nextInt(6_000);
      cell.incident("cut-off " + cut.id + " for " + millis);
      cut.reachable = false;
      cell.after(millis, () -> cut.reachable = true);
    }
  }

  /** All workers of a rack crash at once while starts are in transit, several times. */
  static Result rackCrashes(long seed, boolean sameId) {
    SimulatedCell cell = cell(seed, sameId);
    cell.faults = new SimulatedCell.Faults(0.05, 0, 0);
    return run(
        cell,
        "rack" + seed + sameId,
        load -> {
          if (load.occurs(16)) {
            for (int job = 0; job < 6; job++) {
              load.submitOrdinary();
            }
            cell.run(5 + cell.random.nextInt(60));
            String zone = "zone-" + cell.random.nextInt(2);
            cell.network.count("rack crash");
            cell.crashes.workersUp().stream()
                .filter(worker -> worker.zone.equals(zone))
                .forEach(cell.crashes::crash);
          }
        });
  }

  /** Single workers crash at random while no task crashes its worker. */
  static Result randomCrashes(long seed, boolean sameId) {
    SimulatedCell cell = cell(seed, sameId);
    cell.faults = new SimulatedCell.Faults(0.02, 0, 0);
    return run(
        cell,
        "random" + seed + sameId,
        load -> {
          SimulatedWorker hit = anyWorkerUp(cell);
          if (load.occurs(4) && hit != null) {
            cell.crashes.crash(hit);
          }
          if (load.occurs(40)) {
            cell.takeOver();
          }
        });
  }

  /** Gangs have one member that crashes its worker, and long-running tasks crash theirs. */
  static Result gangsAndLongRunningTasks(long seed, boolean sameId) {
    SimulatedCell cell = cell(seed, sameId);
    return run(
        cell,
        "gang" + seed + sameId,
        load -> {
          if (load.crashingJobDue(20)) {
            load.submit(true, "gang", SimulatedJobs.step(3, 4_000, 2_000, true));
          }
          if (load.occurs(30)) {
            load.submit(true, "lasting", SimulatedJobs.longRunningStep(2, 2_000));
          }
        });
  }

  /** A fifth of the jobs have a crashing task for 10 s. */
  static Result manyCrashingTasks(long seed, boolean crashing) {
    SimulatedCell cell = cell(seed, false);
    long untilMillis = cell.nowMillis + 12_000;
    return run(
        cell,
        "many" + seed + crashing,
        load -> {
          boolean hit = load.occurs(4);
          if (hit && crashing && cell.nowMillis < untilMillis) {
            load.submitCrashing();
          }
        });
  }
}
