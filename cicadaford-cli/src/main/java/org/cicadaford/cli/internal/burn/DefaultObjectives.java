package org.cicadaford.cli.internal.burn;

import java.util.List;
import java.util.Map;

/** Defines the default objectives for start delay, deadlines, requests and completed tasks. */
public final class DefaultObjectives {

  /** Refusal kinds that are not caused by the caller. */
  private static final List<String> SERVER_SIDE_REFUSALS =
      List.of(
          "no-zone",
          "no-endpoint",
          "endpoint-failed",
          "deadline-passed",
          "config-not-confirmed",
          "log-unavailable",
          "overloaded",
          "stopping",
          "outcome-unknown",
          "internal-fault");

  private DefaultObjectives() {}

  /** Returns the default objectives. */
  public static List<Objective> list() {
    return List.of(
        new Objective(
            "urgent-start",
            "urgent work starts within 1.2 s",
            0.99,
            false,
            List.of(
                new MetricSelector(
                    "cicadaford_task_waiting_seconds_bucket",
                    Map.of("class", List.of("urgent"), "le", List.of("1.2")))),
            List.of(
                new MetricSelector(
                    "cicadaford_task_waiting_seconds_count", Map.of("class", List.of("urgent"))))),
        new Objective(
            "batch-deadline",
            "jobs with a deadline complete before it",
            0.99,
            false,
            List.of(
                new MetricSelector(
                    "cicadaford_deadline_jobs_total", Map.of("outcome", List.of("in-time")))),
            List.of(new MetricSelector("cicadaford_deadline_jobs_total", Map.of()))),
        new Objective(
            "answered",
            "requests are answered, or refused because of a caller error",
            0.999,
            true,
            List.of(
                new MetricSelector(
                    "cicadaford_refusals_total", Map.of("kind", SERVER_SIDE_REFUSALS))),
            List.of(new MetricSelector("cicadaford_requests_total", Map.of()))),
        new Objective(
            "work-done",
            "tasks that run complete without being lost or failing",
            0.99,
            false,
            List.of(
                new MetricSelector(
                    "cicadaford_tasks_ended_total", Map.of("end", List.of("completed")))),
            List.of(
                new MetricSelector(
                    "cicadaford_tasks_ended_total",
                    Map.of("end", List.of("completed", "failed", "lost"))))));
  }
}
