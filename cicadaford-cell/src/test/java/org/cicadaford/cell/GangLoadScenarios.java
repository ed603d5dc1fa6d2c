package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.cicadaford.model.Resources;

/**
 * Runs a simulated cell at 0.9 of its capacity with gangs of up to 120 tasks beside urgent tasks
 * and batch tasks, whose run times differ from the submitters' estimates.
 */
final class GangLoadScenarios {

  static final String GANGS = "q";
  static final String URGENT = "urgent";
  static final String BATCH = "batch";

  /** Size from which a gang needs a large part of the workers that advice permits. */
  static final int LARGE_GANG = 60;

  private static final int WORKERS = 80;
  private static final long LOAD_MILLIS = 40_000;

  /** Time in which the work that is left ends after the load. */
  private static final long REST_MILLIS = 40_000;

  private static final double ESTIMATE_DEVIATION = 0.35;

  /** Faults beside the load. */
  enum Fault {
    NONE,
    WORKERS_DISAPPEAR,
    ADVICE_FAILS,
    TAKEOVER
  }

  /**
   * Results of a run.
   *
   * @param agesMillis times from the submission to the end of the completed jobs, by kind
   * @param unfinished accepted jobs that have not ended
   */
  record Result(
      Map<String, List<Long>> agesMillis,
      List<String> unfinished,
      int refused,
      long lostGangCoreMillis,
      long lostCoreMillis,
      List<String> violations) {

    /** Returns the age of the slowest job but a share of a kind. */
    long age(String kind, double share) {
      List<Long> ages = agesMillis.getOrDefault(kind, List.of()).stream().sorted().toList();
      return ages.isEmpty() ? -1 : ages.get((int) (share * (ages.size() - 1)));
    }

    int completed(String kind) {
      return agesMillis.getOrDefault(kind, List.of()).size();
    }
  }

  private final SimulatedCell cell;
  private final Random random;
  private final long seed;
  private final Map<String, String> kindByJob = new TreeMap<>();
  private int jobs;

  private GangLoadScenarios(long seed) {
    this.seed = seed;
    random = new Random(seed);
    AdvicePolicy advice = new AdvicePolicy(559, 8, 2_500);
    CellConfig config =
        new CellConfig(
            1,
            List.of(
                queue(URGENT, 0, 1.5, 300, AdvicePolicy.NONE),
                queue(GANGS, 1, 2.2, 1_000, advice),
                queue(BATCH, 2, 4, 3_000, AdvicePolicy.NONE)),
            List.of(new TeamShare("team", Set.of("key"), 1_000, Resources.NONE)));
    cell = new SimulatedCell(seed, config, WORKERS);
    cell.permittedShare = 0.6;
  }

  private static Queue queue(
      String name, int priority, double stretch, long targetMillis, AdvicePolicy advice) {
    return new Queue(
        name, "h", "/" + name, "svc", priority, 4, stretch, targetMillis, 3_000, false, advice);
  }

  private void submit(String kind, String queue, int count, long millicores, long millis) {
    String id = "load" + seed + "-" + jobs++;
    boolean gang = queue.equals(GANGS);
    SimulatedJobs.job(id, SimulatedJobs.step(count, millicores, millis, gang));
    double error = Math.exp(ESTIMATE_DEVIATION * random.nextGaussian());
    StepSpec stated = SimulatedJobs.step(count, millicores, Math.round(millis * error), gang);
    cell.submit(id, queue, "team", new JobSpec("payload", List.of(stated), 0, 0, 0));
    kindByJob.put(id, kind);
  }

  private void submitDue(long stepMillis) {
    if (random.nextDouble() < 40 * stepMillis / 1_000.0) {
      submit(URGENT, URGENT, 3, 2_000, 400 + random.nextInt(400));
    }
    if (random.nextDouble() < 2.5 * stepMillis / 1_000.0) {
      submit(BATCH, BATCH, 1 + random.nextInt(49), 3_500, 2_400 + random.nextInt(2_000));
    }
    if (random.nextDouble() < 0.9 * stepMillis / 1_000.0) {
      int tasks = random.nextInt(6) == 0 ? LARGE_GANG + random.nextInt(61) : 20;
      String kind = tasks >= LARGE_GANG ? "large gangs" : "gangs";
      submit(kind, GANGS, tasks, 4_000, 2_000 + random.nextInt(2_000));
    }
  }

  private void begin(Fault fault) {
    switch (fault) {
      case WORKERS_DISAPPEAR -> {
        for (int index = 0; index < 8; index++) {
          SimulatedWorker worker = cell.workers.get("w" + random.nextInt(WORKERS));
          worker.crash();
          cell.after(5_000, () -> worker.restart(worker.incarnation + 100));
        }
      }
      case ADVICE_FAILS -> cell.emptyAdvice = 20;
      case TAKEOVER -> cell.takeOver();
      default -> {
        // Nothing fails.
      }
    }
  }

  private Result play(Fault fault) {
    cell.run(1_000);
    long stepMillis = 5;
    for (long atMillis = 0; atMillis < LOAD_MILLIS; atMillis += stepMillis) {
      submitDue(stepMillis);
      if (atMillis % 10_000 == 9_000) {
        begin(fault);
      }
      cell.run(stepMillis);
    }
    cell.run(REST_MILLIS);
    Map<String, List<Long>> ages = new TreeMap<>();
    cell.ended.forEach(
        (id, age) -> ages.computeIfAbsent(kindByJob.get(id), key -> new ArrayList<>()).add(age));
    int refused = kindByJob.size() - cell.accepted.size();
    long lostOfGangs = 0;
    long lost = 0;
    for (Action.ReportLostRun run : cell.lostRuns) {
      boolean ofGang = kindByJob.get(run.task().split("\\.")[0]).endsWith("gangs");
      lostOfGangs += ofGang ? run.lostCoreMillis() : 0;
      lost += run.lostCoreMillis();
    }
    return new Result(
        ages,
        CapacityScenarios.unfinishedJobs(cell),
        refused,
        lostOfGangs,
        lost,
        List.copyOf(cell.violations));
  }

  static Result run(long seed, Fault fault) {
    return new GangLoadScenarios(seed).play(fault);
  }

  /** Prints the results of a fault with the given seeds, to compare builds. */
  public static void main(String[] arguments) {
    Fault fault = Fault.valueOf(arguments[0]);
    for (String seed : arguments) {
      if (!seed.equals(arguments[0])) {
        Result result = run(Long.parseLong(seed), fault);
        StringBuilder line = new StringBuilder(fault + " seed " + seed);
        for (String kind : List.of("gangs", "large gangs", BATCH, URGENT)) {
          line.append(" | ").append(kind).append(' ').append(result.completed(kind));
          for (double share : new double[] {0.5, 0.9, 1}) {
            line.append(' ').append(result.age(kind, share));
          }
        }
        line.append(" | refused ").append(result.refused());
        line.append(" unfinished ").append(result.unfinished().size());
        line.append(" lost ").append(result.lostGangCoreMillis()).append('/');
        line.append(result.lostCoreMillis()).append(" core-ms, violations ");
        System.out.println(line.append(result.violations().size()));
      }
    }
  }
}
