package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cicadaford.model.Resources;

/**
 * Plays a load as on the turbine deployment in simulated time: workers of 16 cores of which a third
 * is slower by 1.3, demand that varies by 0.55 with a period of 17 s in each zone, estimates that
 * are off by 0.35, and one task in 33 that takes seven times as long.
 */
final class TurbineLoad {

  private static final long URGENT_MILLIS = 540;
  private static final int LOAD_STEP_MILLIS = 50;

  private record Kind(
      String queue, double perSecond, int tasks, long millis, long millicores, double gangs) {}

  private static final List<Kind> KINDS =
      List.of(
          new Kind("q", 76.9, 3, URGENT_MILLIS, 2_500, 0.3),
          new Kind("review", 3.31, 20, 3_400, 4_500, 1),
          new Kind("report", 6.89, 25, 1_900, 1_700, 0));

  final SimulatedCell cell;
  final Set<String> slow;
  private final Random random;
  private final double scale;
  private final String prefix;
  private final Map<String, List<String>> jobsByQueue = new HashMap<>();

  /**
   * Creates a load on a cell.
   *
   * @param spread unevenness of the work of a step, as the standard deviation of the logarithm
   * @param longTasks whether one task in 33 takes seven times as long
   * @param minSpeedWorkers number of workers from which learnt speeds are used
   */
  TurbineLoad(
      long seed,
      int workers,
      double slowShare,
      double spread,
      boolean longTasks,
      int minSpeedWorkers) {
    random = new Random(seed);
    scale = workers / 245.0;
    prefix = "turbine" + seed + "-" + workers + "-" + spread + slowShare;
    cell = new SimulatedCell(seed, config(), workers);
    cell.minSpeedWorkers = minSpeedWorkers;
    cell.permittedShare = 0.7;
    slow =
        cell.workers.keySet().stream()
            .filter(id -> drawOf(id) < slowShare)
            .collect(Collectors.toSet());
    slow.forEach(id -> cell.workers.get(id).slowness = 1.3);
    cell.workMillis =
        (task, step) -> {
          Random draw = new Random(0x9E3779B97F4A7C15L * (task + seed).hashCode());
          long millis = step.demand().memoryMebibytes() * 10;
          double factor = draw.nextDouble() < 1 / 33.0 && longTasks ? 7 : 1;
          return Math.round(millis * factor * Math.exp(spread * draw.nextGaussian()));
        };
    takeOver();
  }

  private static double drawOf(String id) {
    return new Random(0x9E3779B97F4A7C15L * id.hashCode()).nextDouble();
  }

  private static CellConfig config() {
    AdvicePolicy advice = new AdvicePolicy(7, 0.1, 2_500);
    return new CellConfig(
        1,
        List.of(
            new Queue("q", "h", "/q", "svc", 0, 2, 1.5, 300, 3_000, false, advice),
            new Queue("review", "h", "/v", "svc", 1, 4, 2.2, 1_000, 3_000, false, advice),
            new Queue("report", "h", "/r", "svc", 2, 2, 4, 3_000, 3_000, false, advice)),
        List.of(new TeamShare("team", Set.of(), 1_000, Resources.NONE)));
  }

  /** Replaces the coordinator, with 30 instances that make calls for advice. */
  void takeOver() {
    cell.takeOver();
    Set<String> callers =
        IntStream.range(0, 30).mapToObj(index -> "e" + index).collect(Collectors.toSet());
    cell.coordinator.adviceCallersChanged(callers, cell.moment());
  }

  /** Plays the load for a time. */
  void run(long millis) {
    for (long end = cell.nowMillis + millis; cell.nowMillis < end; ) {
      for (int zone = 0; zone < 2; zone++) {
        double phase = 2 * Math.PI * (cell.nowMillis / 17_000.0 + zone / 2.0);
        double share = 0.5 * scale * (1 + 0.55 * Math.sin(phase)) * LOAD_STEP_MILLIS / 1_000;
        for (Kind kind : KINDS) {
          double jobs = kind.perSecond * share + random.nextDouble();
          for (int job = 0; job < (int) jobs; job++) {
            submit(kind, "zone-" + zone);
          }
        }
      }
      cell.run(LOAD_STEP_MILLIS);
    }
  }

  private void submit(Kind kind, String zone) {
    boolean gang = random.nextDouble() < kind.gangs;
    long estimateMillis = Math.round(kind.millis * Math.exp(0.35 * random.nextGaussian()));
    StepSpec step =
        new StepSpec(
            kind.tasks,
            // The simulated work is known to the worker only; the memory states it here.
            new Resources(kind.millicores, kind.millis / 10, 0),
            estimateMillis,
            List.of(),
            false,
            gang,
            false,
            "",
            "",
            0,
            false,
            false,
            "",
            0,
            false,
            0);
    List<String> jobs = jobsByQueue.computeIfAbsent(kind.queue, key -> new ArrayList<>());
    String id = (prefix + kind.queue + jobs.size()).replace(".", "_");
    jobs.add(id);
    Queue queue = config().queue(kind.queue).orElseThrow();
    cell.coordinator.submit(
        id, queue, new Submitter("team", zone), SimulatedJobs.job(id, step), cell.moment());
  }

  int count(String queue) {
    return jobsByQueue.getOrDefault(queue, List.of()).size();
  }

  /** Returns the share of the jobs of a queue after the first ones that ended within a time. */
  double onTime(String queue, int skipped, long objectiveMillis) {
    List<String> jobs = jobsByQueue.get(queue);
    List<String> counted = jobs.subList(skipped, jobs.size());
    return counted.stream()
            .filter(id -> cell.ended.getOrDefault(id, Long.MAX_VALUE) <= objectiveMillis)
            .count()
        / (double) counted.size();
  }
}
