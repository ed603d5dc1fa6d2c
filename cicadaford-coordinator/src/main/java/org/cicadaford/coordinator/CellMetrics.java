package org.cicadaford.coordinator;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Records the metrics of an instance. */
public final class CellMetrics {

  private static final double[] LATENCY_BOUNDS = {0.005, 0.01, 0.02, 0.05, 0.1, 0.3, 1, 3};

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter requests =
      counter("cicadaford_cell_requests_total", "Requests answered.", "kind", "outcome");
  private final Counter orders =
      counter("cicadaford_cell_orders_total", "Orders to workers by outcome.", "kind", "outcome");
  private final Counter lostRuns =
      counter(
          "cicadaford_cell_lost_runs_total",
          "Runs that ended without completing their task, by cause.",
          "cause");
  private final Counter lostCoreSeconds =
      counter(
          "cicadaford_cell_lost_core_seconds_total",
          "Work of such runs that was not saved, in seconds of one core, by cause.",
          "cause");
  private final Counter workerEvents =
      counter(
          "cicadaford_cell_worker_events_total",
          "Restarted workers, runs unknown to the coordinator, and placements released without a"
              + " reported end.",
          "event",
          "outcome");
  private final Counter ordersSent =
      counter("cicadaford_cell_orders_sent_total", "Orders to workers by route.", "way");
  private final Counter appends =
      counter("cicadaford_cell_appends_total", "Appends to the journal by outcome.", "outcome");
  private final Counter advice =
      counter("cicadaford_cell_advice_total", "Advice requests by outcome.", "outcome");
  private final Counter elections =
      counter(
          "cicadaford_cell_elections_total", "Claims and ends of the coordinator role.", "event");
  private final Counter droppedLogLines =
      counter(
          "cicadaford_cell_log_lines_dropped_total",
          "Log lines dropped above the rate limit.",
          "category");
  private final Counter rejectedEntries =
      counter(
          "cicadaford_cell_rejected_entries_total",
          "Entries of other writers that cannot be used, by kind.",
          "kind");
  private final Counter failedReads =
      counter(
          "cicadaford_cell_failed_reads_total",
          "Failed reads of what an instance follows, such as the worker list.",
          "what");
  private final Histogram requestSeconds =
      histogram("cicadaford_cell_request_seconds", "Time to answer a request.", "kind");
  private final Histogram appendSeconds =
      histogram("cicadaford_cell_append_seconds", "Time to store a batch.", "kind");
  private final Gauge state =
      Gauge.builder()
          .name("cicadaford_cell_state")
          .help("Sizes of the coordinator's state, and 1 while it holds the role.")
          .labelNames("what")
          .register(registry);

  private final Gauge beyondShare =
      Gauge.builder()
          .name("cicadaford_cell_beyond_share")
          .help("1 while a service is short and a team exceeds its share of it.")
          .labelNames("team")
          .register(registry);

  private Counter counter(String name, String help, String... labels) {
    return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
  }

  private Histogram histogram(String name, String help, String label) {
    return Histogram.builder()
        .name(name)
        .help(help)
        .labelNames(label)
        .classicOnly()
        .classicUpperBounds(LATENCY_BOUNDS)
        .register(registry);
  }

  /** Returns the registry to expose. */
  public PrometheusRegistry registry() {
    return registry;
  }

  /** Records an answered request and its duration in milliseconds. */
  public void recordRequest(String kind, String outcome, long durationMillis) {
    requests.labelValues(kind, outcome).inc();
    requestSeconds.labelValues(kind).observe(durationMillis / 1_000.0);
  }

  void recordOrderOutcome(String kind, String outcome) {
    orders.labelValues(kind, outcome).inc();
  }

  void recordLostRun(String cause, long lostCoreMillis) {
    lostRuns.labelValues(cause).inc();
    lostCoreSeconds.labelValues(cause).inc(lostCoreMillis / 1_000.0);
  }

  void recordWorkerEvent(String event, String outcome) {
    workerEvents.labelValues(event, outcome).inc();
  }

  void recordOrderSent(String route) {
    ordersSent.labelValues(route).inc();
  }

  void recordAppend(AppendOutcome outcome, long durationMillis) {
    appends.labelValues(outcome.name()).inc();
    appendSeconds.labelValues("batch").observe(durationMillis / 1_000.0);
  }

  void recordAdviceOutcome(String outcome) {
    advice.labelValues(outcome).inc();
  }

  void recordElectionEvent(String event) {
    elections.labelValues(event).inc();
  }

  void recordDroppedLogLine(String category) {
    droppedLogLines.labelValues(category).inc();
  }

  void recordRejectedEntry(String kind) {
    rejectedEntries.labelValues(kind).inc();
  }

  void recordFailedRead(String what) {
    failedReads.labelValues(what).inc();
  }

  void setStateGauge(String what, long value) {
    state.labelValues(what).set(value);
  }

  void setBeyondShareGauge(String team, long value) {
    beyondShare.labelValues(team).set(value);
  }
}
