package org.cicadaford.cell;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cicadaford.model.Resources;

/** Creates job descriptions and configurations for tests, and keeps the descriptions by job id. */
final class SimulatedJobs {

  static final int MAX_ATTEMPTS = 4;

  /** Large stretch: tests submit more than fits at a time, and no job may be refused. */
  private static final double STRETCH = 30;

  /** Maximum number of workers in a call for advice; the service refuses longer calls. */
  static final int MAX_ADVISED_WORKERS = 100;

  private static final Map<String, JobSpec> SPECS = new HashMap<>();

  private SimulatedJobs() {}

  static CellConfig config(Resources limit, AdvicePolicy advice) {
    TeamShare team = new TeamShare("team", Set.of("key"), 0, limit);
    return new CellConfig(1, List.of(queue("q", 0, advice)), List.of(team));
  }

  static Queue queue(String name, int priority, AdvicePolicy advice) {
    return new Queue(
        name,
        "h",
        "/" + name + "/",
        "svc",
        priority,
        MAX_ATTEMPTS,
        STRETCH,
        250,
        3_000,
        false,
        advice);
  }

  static StepSpec step(int count, long millicores, long millis, boolean gang, Integer... after) {
    return step(count, millicores, millis, gang, false, false, 0, after);
  }

  /** Returns a step whose tasks run until the job is cancelled. */
  static StepSpec longRunningStep(int count, long millicores) {
    return longRunningStep(count, millicores, 0);
  }

  /** Returns a long-running step with a limit on unavailable tasks. */
  static StepSpec longRunningStep(int count, long millicores, int maxUnavailable) {
    return step(count, millicores, 300, false, true, false, maxUnavailable);
  }

  /** Returns a step whose tasks can be stopped and resumed. */
  static StepSpec checkpointingStep(int count, long millicores, long millis) {
    return step(count, millicores, millis, false, false, true, 0);
  }

  private static StepSpec step(
      int count,
      long millicores,
      long millis,
      boolean gang,
      boolean longRunning,
      boolean checkpointing,
      int maxUnavailable,
      Integer... after) {
    return new StepSpec(
        count,
        new Resources(millicores, 100, 0),
        millis,
        List.of(after),
        checkpointing,
        gang,
        false,
        "",
        "",
        0,
        false,
        longRunning,
        "",
        0,
        false,
        maxUnavailable);
  }

  static JobSpec job(String jobId, StepSpec... steps) {
    JobSpec spec = new JobSpec("payload", List.of(steps), 0, 0, 0);
    SPECS.put(jobId, spec);
    return spec;
  }

  /** Returns a job whose steps run {@code times} times, once a second. */
  static JobSpec recurringJob(String jobId, int times, long firstDueMillis, StepSpec... steps) {
    JobSpec spec = new JobSpec("payload", List.of(steps), times, firstDueMillis, 1_000);
    SPECS.put(jobId, spec);
    return spec;
  }

  static JobSpec specOf(String jobId) {
    return SPECS.get(jobId);
  }
}
