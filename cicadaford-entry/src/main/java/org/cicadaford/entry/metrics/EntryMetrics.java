package org.cicadaford.entry.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Holds the Prometheus metrics of an entry daemon. Thread-safe. */
public final class EntryMetrics {

  /** Upper bounds of the waiting-time buckets, in seconds; 1.2 s is the target of urgent work. */
  private static final double[] WAITING_BOUNDS_SECONDS = {0.05, 0.1, 0.3, 1.2, 5, 30, 300, 3600};

  private static final double[] CALL_BOUNDS_SECONDS = {0.005, 0.02, 0.1, 0.5, 2, 10};

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter recordsRead =
      counter("cicadaford_log_records_read_total", "Records read from the log.", "stream");
  private final Counter appends =
      counter("cicadaford_log_appends_total", "Appends to the log by result.", "writer", "result");
  private final Counter decisions =
      counter("cicadaford_decisions_total", "Changes that took effect in the zone.", "kind");
  private final Counter invalidChanges =
      counter("cicadaford_invalid_changes_total", "Changes that the reducer rejected.", "kind");
  private final Counter orders =
      counter("cicadaford_worker_orders_total", "Commands to workers by result.", "kind", "result");
  private final Counter refusals =
      counter("cicadaford_refusals_total", "Requests refused by kind.", "kind");
  private final Counter requests =
      counter("cicadaford_requests_total", "Requests answered by outcome.", "route", "outcome");
  private final Counter retries =
      counter("cicadaford_retries_total", "Attempts repeated after a failure.", "kind");
  private final Counter takeovers =
      counter("cicadaford_ownership_takeovers_total", "Times this instance became owner.");
  private final Counter faults =
      counter("cicadaford_faults_total", "Faults met and handled, by kind.", "kind");
  private final Counter tasksEnded =
      counter("cicadaford_tasks_ended_total", "Placements that ended.", "team", "end");
  private final Counter deadlineJobs =
      counter(
          "cicadaford_deadline_jobs_total",
          "Parts of jobs with a deadline that ended in time or missed it.",
          "team",
          "outcome");
  private final Gauge owner =
      Gauge.builder()
          .name("cicadaford_zone_owner")
          .help("1 while this instance owns its zone.")
          .register(registry);
  private final Gauge configAge =
      Gauge.builder()
          .name("cicadaford_config_confirmation_age_seconds")
          .help("Time since the configuration was last confirmed to be the newest.")
          .register(registry);
  private final Histogram waiting =
      histogram(
          "cicadaford_task_waiting_seconds",
          "Time from submission to start.",
          WAITING_BOUNDS_SECONDS);
  private final Histogram calls =
      histogram("cicadaford_call_duration_seconds", "Time to answer a call.", CALL_BOUNDS_SECONDS);

  private Counter counter(String name, String help, String... labels) {
    return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
  }

  private Histogram histogram(String name, String help, double[] bounds) {
    return Histogram.builder()
        .name(name)
        .help(help)
        .classicOnly()
        .classicUpperBounds(bounds)
        .labelNames("team", "class")
        .register(registry);
  }

  /** Returns the registry that holds all metrics. */
  public PrometheusRegistry registry() {
    return registry;
  }

  /** Counts records read from a stream. */
  public void countRecordsRead(String stream, int count) {
    recordsRead.labelValues(stream).inc(count);
  }

  /** Counts an append by its result. */
  public void countAppend(String writer, String result) {
    appends.labelValues(writer, result).inc();
  }

  /** Counts a zone change that took effect. */
  public void countDecision(String kind) {
    decisions.labelValues(kind).inc();
  }

  /** Counts a zone change that the reducer rejected. */
  public void countInvalidChange(String kind) {
    invalidChanges.labelValues(kind).inc();
  }

  /** Counts a command to a worker by its result. */
  public void countWorkerCommand(String kind, String result) {
    orders.labelValues(kind, result).inc();
  }

  /** Counts a refused request. */
  public void countRefusal(String kind) {
    refusals.labelValues(kind).inc();
  }

  /** Counts an answered request. */
  public void countRequest(String route, String outcome) {
    requests.labelValues(route, outcome).inc();
  }

  /** Counts a retry. */
  public void countRetry(String kind) {
    retries.labelValues(kind).inc();
  }

  /** Counts a takeover of the zone by this instance. */
  public void countTakeover() {
    takeovers.inc();
  }

  /** Counts a fault that was handled. */
  public void countFault(String kind) {
    faults.labelValues(kind).inc();
  }

  /** Sets whether this instance owns its zone. */
  public void setOwner(boolean isOwner) {
    owner.set(isOwner ? 1 : 0);
  }

  /** Sets the time since the configuration was last confirmed. */
  public void setConfigAge(long ageMillis) {
    configAge.set(ageMillis / 1000.0);
  }

  /** Counts an ended placement of a task. */
  public void countEndedTask(String team, String end) {
    tasksEnded.labelValues(team, end).inc();
  }

  /** Counts an ended job with a deadline. */
  public void countDeadlineJob(String team, boolean inTime) {
    deadlineJobs.labelValues(team, inTime ? "in-time" : "missed").inc();
  }

  /** Observes the time from submission to the start of a task. */
  public void observeTaskWaiting(String team, String jobClass, long waitingMillis) {
    waiting.labelValues(team, jobClass).observe(Math.max(0, waitingMillis) / 1000.0);
  }

  /** Observes the time to answer a call. */
  public void observeCallDuration(String team, String callClass, long durationMillis) {
    calls.labelValues(team, callClass).observe(durationMillis / 1000.0);
  }
}
