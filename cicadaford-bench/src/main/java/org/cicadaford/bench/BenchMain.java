package org.cicadaford.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.IntFunction;
import java.util.function.ToDoubleFunction;
import org.cicadaford.bench.SlopeMeasurement.Point;
import org.cicadaford.bench.ZoneSimulation.Outage;
import org.cicadaford.decision.PlacementPolicy;
import org.cicadaford.decision.SchedulerSettings;
import org.cicadaford.model.MalformedRecordException;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the benchmarks and writes their results, with ratios to baseline variants. */
@Command(name = "bench", mixinStandardHelpOptions = true, description = "Measures the scheduler.")
public final class BenchMain implements Callable<Integer> {

  private static final List<String> CLASSES =
      List.of("urgent", "deadline", "normal", "deferrable", "gang", "accelerator");

  @Option(names = "--seed", defaultValue = "1", description = "Seed of the workload.")
  private long seed;

  @Option(names = "--minutes", defaultValue = "30", description = "Simulated minutes.")
  private int minutes;

  @Option(names = "--load", defaultValue = "1.2", description = "Offered work over capacity.")
  private double load;

  @Option(names = "--variants", split = ",", description = "Variants to run; all if absent.")
  private List<String> variantNames = List.of();

  @Option(names = "--out", defaultValue = "target/bench", description = "Directory of results.")
  private Path out;

  @Option(
      names = "--parts",
      split = ",",
      defaultValue = "simulation,lent,outage,slopes,rebuild,cell,jmh",
      description = "Parts to run: ${DEFAULT-VALUE}.")
  private List<String> parts;

  @Option(
      names = "--cell-workers",
      split = ",",
      defaultValue = "30,60,250,1000,5800",
      description = "Worker counts for the part cell: ${DEFAULT-VALUE}.")
  private List<Integer> cellWorkers;

  private final StringBuilder markdown = new StringBuilder("# Scheduler benchmark\n\n");

  /** Runs the benchmark and exits with its exit code. */
  public static void main(String[] args) {
    System.setProperty("java.awt.headless", "true");
    System.exit(new CommandLine(new BenchMain()).execute(args));
  }

  @Override
  public Integer call() throws IOException, MalformedRecordException, RunnerException {
    Files.createDirectories(out);
    if (parts.contains("simulation")) {
      simulate();
    }
    if (parts.contains("lent")) {
      simulateFilledZone();
    }
    if (parts.contains("outage")) {
      simulateOutage();
    }
    if (parts.contains("slopes")) {
      measureSlopes();
    }
    if (parts.contains("rebuild")) {
      measureRebuild();
    }
    if (parts.contains("cell")) {
      measureCell();
    }
    Files.writeString(out.resolve("results.md"), markdown);
    if (parts.contains("jmh")) {
      new Runner(
              new OptionsBuilder()
                  .include(PlacementBenchmark.class.getSimpleName())
                  .jvmArgs("-Xmx1g")
                  .build())
          .run();
    }
    return 0;
  }

  private void measureCell() throws IOException {
    ResultWriter table =
        new ResultWriter(
            "Cell coordinator by workers, load in proportion",
            "workers",
            "running tasks",
            "starts/s",
            "us/event",
            "cores",
            "journal bytes/start");
    for (CellLoadMeasurement.Point point : CellLoadMeasurement.measure(cellWorkers, seed)) {
      table.add(
          point.workers(),
          point.runningTasks(),
          point.startsPerSecond(),
          point.microsPerEvent(),
          point.cores(),
          point.journalBytesPerStart());
    }
    publish(table, "cell");
  }

  private void publish(ResultWriter table, String name) throws IOException {
    System.out.println(table.toMarkdown());
    markdown.append(table.toMarkdown());
    table.writeCsv(out.resolve(name + ".csv"));
  }

  private static Map<String, SchedulerSettings> variants() {
    SchedulerSettings all = SchedulerSettings.DEFAULT;
    Map<String, SchedulerSettings> variants = new LinkedHashMap<>();
    variants.put("default", all);
    variants.put("random", all.withPolicy(new PlacementPolicy.RandomFit(1)));
    variants.put("first fit", all.withPolicy(new PlacementPolicy.FirstFit()));
    variants.put("no fair share", all.withMechanisms(false, true, true, all.headroomFraction()));
    variants.put(
        "no deadline order", all.withMechanisms(true, false, true, all.headroomFraction()));
    variants.put("no preemption", all.withMechanisms(true, true, false, all.headroomFraction()));
    variants.put("no headroom", all.withMechanisms(true, true, true, 0));
    variants.put("headroom 2%", all.withMechanisms(true, true, true, 0.02));
    variants.put(
        "plain first fit",
        all.withPolicy(new PlacementPolicy.FirstFit()).withMechanisms(false, false, false, 0));
    return variants;
  }

  private void simulate() throws IOException {
    long endMillis = minutes * 60_000L;
    Workload workload = new WorkloadGenerator(seed, load).generate(endMillis);
    Map<String, SchedulerSettings> selected = variants();
    if (!variantNames.isEmpty()) {
      selected.keySet().retainAll(variantNames);
    }
    warmUp();
    List<SimulationResult> results = run(selected, workload, endMillis);
    publish(waitingTable("Waiting time to the first start, ms", results), "waiting");
    publish(summary("Whole run", results), "summary");
    Map<String, List<Double>> bars = new LinkedHashMap<>();
    for (String workClass : CLASSES) {
      bars.put(
          workClass, results.stream().map(r -> barHeight(r.waitingMillis(workClass, 99))).toList());
    }
    List<String> names = results.stream().map(SimulationResult::variant).toList();
    PlotWriter.writeBars(out.resolve("waiting.svg"), "Waiting time, p99", "seconds", names, bars);
  }

  private void simulateFilledZone() throws IOException {
    long endMillis = minutes * 30_000L;
    Workload workload = new WorkloadGenerator(seed, load).generateFilledZone(endMillis);
    SchedulerSettings all = SchedulerSettings.DEFAULT;
    Map<String, SchedulerSettings> selected = new LinkedHashMap<>();
    selected.put("default", all);
    selected.put("no preemption", all.withMechanisms(true, true, false, all.headroomFraction()));
    selected.put("no headroom", all.withMechanisms(true, true, true, 0));
    selected.put("headroom 2%", all.withMechanisms(true, true, true, 0.02));
    List<SimulationResult> results = run(selected, workload, endMillis);
    publish(
        waitingTable("Zone filled by long work of one team: waiting time, ms", results), "lent");
    publish(summary("Zone filled by long work of one team: whole run", results), "lent-summary");
  }

  private static List<SimulationResult> run(
      Map<String, SchedulerSettings> selected, Workload workload, long endMillis) {
    List<SimulationResult> results = new ArrayList<>();
    selected.forEach(
        (name, settings) ->
            results.add(
                new ZoneSimulation(workload, endMillis / 6, endMillis, null).run(name, settings)));
    return results;
  }

  private static ResultWriter waitingTable(String title, List<SimulationResult> results) {
    ResultWriter table =
        new ResultWriter(
            title + ", and ratio to the default",
            "variant",
            "class",
            "tasks",
            "p50",
            "p99",
            "p99.9",
            "p99 ratio");
    for (SimulationResult result : results) {
      for (String workClass : CLASSES) {
        double p99 = result.waitingMillis(workClass, 99);
        double baseline = results.getFirst().waitingMillis(workClass, 99);
        long count =
            result.waitingByClass().containsKey(workClass)
                ? result.waitingByClass().get(workClass).getTotalCount()
                : 0;
        table.add(
            result.variant(),
            workClass,
            count,
            result.waitingMillis(workClass, 50),
            p99,
            result.waitingMillis(workClass, 99.9),
            p99 / baseline);
      }
    }
    return table;
  }

  /** Runs a short simulation, so that JIT compilation does not distort the first variant. */
  private void warmUp() {
    Workload workload = new WorkloadGenerator(seed, load).generate(300_000);
    new ZoneSimulation(workload, 0, 300_000, null).run("warm-up", SchedulerSettings.DEFAULT);
  }

  private static double barHeight(double millis) {
    return Double.isNaN(millis) ? 0 : millis / 1_000;
  }

  private static ResultWriter summary(String title, List<SimulationResult> results) {
    ResultWriter table =
        new ResultWriter(
            title,
            "variant",
            "packing",
            "Jain index",
            "core seconds done",
            "ratio",
            "late tasks part",
            "stops",
            "placements",
            "placements/s",
            "decision p99 ms");
    double baseline = results.getFirst().workCoreSeconds();
    for (SimulationResult result : results) {
      table.add(
          result.variant(),
          result.packing(),
          result.jainIndex(),
          result.workCoreSeconds(),
          result.workCoreSeconds() / baseline,
          result.lateParts(),
          result.stops(),
          result.placements(),
          result.placementsPerSecond(),
          result.decisionMicros().getValueAtPercentile(99) / 1_000.0);
    }
    return table;
  }

  private void simulateOutage() throws IOException {
    long endMillis = minutes * 60_000L;
    Workload workload = new WorkloadGenerator(seed, load).generate(endMillis);
    Outage outage = new Outage(endMillis / 2, endMillis / 2 + 180_000);
    List<SimulationResult> results = new ArrayList<>();
    for (String name : List.of("default", "plain first fit")) {
      SchedulerSettings settings = variants().get(name);
      results.add(
          new ZoneSimulation(workload, endMillis / 6, endMillis, null)
              .run(name + ", zone stays", settings));
      results.add(
          new ZoneSimulation(workload, endMillis / 6, endMillis, outage)
              .run(name + ", out for 3 min", settings));
    }
    ResultWriter table =
        new ResultWriter(
            "Work done while the zone leaves and returns",
            "run",
            "core seconds done",
            "ratio to staying",
            "urgent p99 ms",
            "normal p99 ms");
    for (int i = 0; i < results.size(); i++) {
      SimulationResult result = results.get(i);
      table.add(
          result.variant(),
          result.workCoreSeconds(),
          result.workCoreSeconds() / results.get(i - i % 2).workCoreSeconds(),
          result.waitingMillis("urgent", 99),
          result.waitingMillis("normal", 99));
    }
    publish(table, "outage");
  }

  private void measureSlopes() throws IOException {
    measureSlope(
        "workers",
        Arrays.asList(50, 160, 530, 1_600, 5_000),
        n -> new LoadedZone(n, n * 16, 310, false));
    measureSlope(
        "running tasks",
        Arrays.asList(1_000, 3_000, 8_300, 25_000, 50_000),
        n -> new LoadedZone(WorkloadGenerator.WORKERS, n, 310, false));
    measureSlope(
        "teams",
        Arrays.asList(10, 31, 100, 310, 1_000),
        n -> new LoadedZone(WorkloadGenerator.WORKERS, WorkloadGenerator.RUNNING_TASKS, n, false));
  }

  private void measureSlope(String what, List<Integer> sizes, IntFunction<LoadedZone> factory)
      throws IOException {
    SlopeMeasurement.measure(sizes.subList(0, 3), factory);
    List<Point> points = SlopeMeasurement.measure(sizes, factory);
    ResultWriter table =
        new ResultWriter(
            "Growth with " + what, what, "mean us", "p99 us", "placements/s", "heap MiB");
    for (Point point : points) {
      table.add(
          point.size(),
          point.meanMicros(),
          point.p99Micros(),
          point.placementsPerSecond(),
          point.heapMebibytes());
    }
    if (what.equals("workers")) {
      points.stream().filter(p -> p.size() == WorkloadGenerator.WORKERS).forEach(this::check);
    }
    String name = what.replace(' ', '-');
    publish(table, "slope-" + name);
    List<Double> xs = points.stream().map(point -> (double) point.size()).toList();
    reportFit("time of a decision", what, xs, points, Point::meanMicros);
    reportFit(
        "time per placement in a large batch",
        what,
        xs,
        points,
        p -> 1e6 / p.placementsPerSecond());
    reportFit("heap", what, xs, points, point -> Math.max(0.01, point.heapMebibytes()));
    List<Double> ys = points.stream().map(Point::meanMicros).toList();
    PlotWriter.writeLogLog(
        out.resolve("slope-" + name + ".svg"),
        "Mean time of a decision that places one task",
        what,
        "microseconds",
        xs,
        ys);
  }

  private void check(Point point) {
    reportTarget("decision p99 under 1 ms", point.p99Micros() < 1_000);
    reportTarget("at least 5,000 placements/s, one task per decision", point.meanMicros() <= 200);
    reportTarget(
        "at least 5,000 placements/s, many tasks per decision",
        point.placementsPerSecond() >= 5_000);
  }

  private void reportTarget(String target, boolean met) {
    String line =
        "target, 530 workers and 8,480 running tasks: " + target + ": " + (met ? "met" : "MISSED");
    System.out.println(line + "\n");
    markdown.append(line).append("\n\n");
  }

  private void reportFit(
      String what, String by, List<Double> xs, List<Point> points, ToDoubleFunction<Point> value) {
    List<Double> ys = points.stream().map(value::applyAsDouble).toList();
    LogLogFit fit = LogLogFit.of(xs, ys);
    String line =
        what
            + " by "
            + by
            + ": exponent "
            + ResultWriter.format(fit.exponent())
            + ", residual "
            + ResultWriter.format(fit.residual());
    System.out.println(line + "\n");
    markdown.append(line).append("\n\n");
  }

  private void measureRebuild() throws IOException, MalformedRecordException {
    LoadedZone zone =
        new LoadedZone(WorkloadGenerator.WORKERS, WorkloadGenerator.RUNNING_TASKS, 310, true);
    ResultWriter table =
        new ResultWriter(
            "Rebuild of the zone's state", "from", "running tasks", "ms", "target 2 s");
    int tasks = zone.zone().state().committedTaskCount();
    double stream = SlopeMeasurement.rebuildMillis(zone);
    table.add("stream", tasks, stream, stream < 2_000 ? "met" : "missed");
    double snapshot = SlopeMeasurement.snapshotMillis(zone);
    table.add("snapshot", tasks, snapshot, snapshot < 2_000 ? "met" : "missed");
    publish(table, "rebuild");
  }
}
