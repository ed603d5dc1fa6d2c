package org.cicadaford.cell;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.cicadaford.model.Resources;

/** Checks each start that a simulated worker carries out against the rules. */
final class SimulatedRules {

  /** Workers that a task may crash before its starts are counted. */
  private static final int MAX_CRASHES = 3;

  /** Starts after these crashes of which the last one violates the rule. */
  private static final int MAX_STARTS_AFTER_CRASHES = 3;

  private final Collection<SimulatedWorker> workers;
  private final BiConsumer<String, String> reportViolation;
  private final Set<String> doneTasks = new HashSet<>();
  private final Set<String> failedEnds = new HashSet<>();
  private final Map<String, Integer> failures = new HashMap<>();
  private final Map<String, Set<Integer>> failedRunsOfGangs = new HashMap<>();
  private final Map<String, Integer> crashes = new HashMap<>();
  private final Map<String, Integer> startsAfterCrashes = new HashMap<>();

  /**
   * Creates the checks.
   *
   * @param reportViolation receives the violated rule and the task
   */
  SimulatedRules(Collection<SimulatedWorker> workers, BiConsumer<String, String> reportViolation) {
    this.workers = workers;
    this.reportViolation = reportViolation;
  }

  /** Records a run end that a worker reports to the coordinator. */
  void ended(WorkerReport report, ReportedEnd end) {
    String key = report.workerId() + report.incarnation() + "/" + end.number();
    if (end.kind() == EndKind.DONE) {
      doneTasks.add(end.task());
    } else if (end.kind() == EndKind.FAILED && failedEnds.add(key)) {
      failures.merge(end.task(), 1, Integer::sum);
      failedRunsOfGangs.computeIfAbsent(stepOf(end.task()), step -> new HashSet<>()).add(end.run());
    }
  }

  /** Records a run end that a renewal has acknowledged, whether it was reported or not. */
  void acknowledged(ReportedEnd end) {
    if (end.kind() == EndKind.DONE) {
      doneTasks.add(end.task());
    }
  }

  private static String stepOf(String task) {
    return task.substring(0, task.lastIndexOf('.'));
  }

  /** Records that a worker has crashed under a run of a task that crashes workers. */
  void workerCrashed(String task) {
    crashes.merge(task, 1, Integer::sum);
  }

  /** Checks a start, carried out in time, of a task that crashes workers. */
  void crashingTaskStarted(String task) {
    boolean exhausted = crashes.getOrDefault(task, 0) >= MAX_CRASHES;
    if (exhausted && startsAfterCrashes.merge(task, 1, Integer::sum) == MAX_STARTS_AFTER_CRASHES) {
      reportViolation.accept("BUDGET of crashes", task);
    }
  }

  /** Checks that a task of a failed job without crashing tasks has failed often enough. */
  void innocentJobFailed(String jobId) {
    boolean taskFailed =
        failures.entrySet().stream()
            .anyMatch(
                task ->
                    task.getKey().startsWith(jobId + ".")
                        && task.getValue() >= SimulatedJobs.MAX_ATTEMPTS);
    if (!taskFailed && !gangFailed(jobId)) {
      reportViolation.accept("INNOCENT", jobId);
    }
  }

  /** Returns the highest number of workers that a task of the job has crashed. */
  int crashesOf(String jobId) {
    return crashes.entrySet().stream()
        .filter(task -> task.getKey().startsWith(jobId + "."))
        .mapToInt(Map.Entry::getValue)
        .max()
        .orElse(0);
  }

  /** Returns whether the members of a gang have together failed as often as a task may. */
  private boolean gangFailed(String jobId) {
    return failedRunsOfGangs.entrySet().stream()
        .filter(step -> step.getKey().startsWith(jobId + "."))
        .filter(
            step -> {
              int index = Integer.parseInt(step.getKey().split("\\.")[2]);
              return SimulatedJobs.specOf(jobId).steps().get(index).gang();
            })
        .anyMatch(step -> step.getValue().size() >= SimulatedJobs.MAX_ATTEMPTS);
  }

  /**
   * Checks a start when a worker carries it out.
   *
   * @param cancelledAt time at which the cancellation of its job was confirmed, or null
   */
  void started(SimulatedWorker worker, SimulatedWorker.Run run, Long cancelledAt, long nowMillis) {
    String[] name = run.task.split("\\.");
    Resources used = Resources.NONE;
    for (SimulatedWorker.Run present : worker.runs.values()) {
      used = used.plus(present.reservation);
    }
    if (!worker.capacity.allows(used, nowMillis)) {
      reportViolation.accept("LIMIT on " + worker.id, run.task);
    }
    for (SimulatedWorker other : workers) {
      if (other.up && other.hasOtherRun(run)) {
        reportViolation.accept("TWICE on " + other.id, run.task);
      }
    }
    StepSpec step = SimulatedJobs.specOf(name[0]).steps().get(Integer.parseInt(name[2]));
    if (!step.requiredLabel().isEmpty() && !worker.labels.contains(step.requiredLabel())) {
      reportViolation.accept("ROUTE on " + worker.id, run.task);
    }
    if (doneTasks.contains(run.task)) {
      reportViolation.accept("AGAIN", run.task);
    }
    if (failures.getOrDefault(run.task, 0) >= SimulatedJobs.MAX_ATTEMPTS) {
      reportViolation.accept("BUDGET", run.task);
    }
    JobSpec spec = SimulatedJobs.specOf(name[0]);
    for (int earlier : spec.steps().get(Integer.parseInt(name[2])).after()) {
      for (int index = 0; index < spec.steps().get(earlier).taskCount(); index++) {
        if (!doneTasks.contains(name[0] + "." + name[1] + "." + earlier + "." + index)) {
          reportViolation.accept("ORDER", run.task);
        }
      }
    }
    if (cancelledAt != null && nowMillis - cancelledAt > 3_000) {
      reportViolation.accept("UNASKED", run.task);
    }
  }
}
