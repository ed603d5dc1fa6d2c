package org.cicadaford.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cicadaford.bench.Workload.Arrival;
import org.cicadaford.decision.ListedWorker;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobKind;
import org.cicadaford.model.Resources;
import org.cicadaford.model.TeamPolicy;
import org.cicadaford.model.Urgency;

/**
 * Generates the workload of one zone from a seed.
 *
 * <p>One zone of 11 has 530 workers, 8,300 running tasks, a fifth of them services, and at the peak
 * 34 starts/s. Actual run times differ from declared ones by a log-normal factor (sigma 0.8).
 */
public final class WorkloadGenerator {

  /** Workers of one zone. */
  public static final int WORKERS = 530;

  /** Running tasks of one zone. */
  public static final int RUNNING_TASKS = 8_300;

  /** Millicores of one worker. */
  public static final long WORKER_MILLICORES = 64_000;

  /** Mebibytes of one worker. */
  public static final long WORKER_MEBIBYTES = 131_072;

  /**
   * Jobs per second of one zone at the peak: 44,000 a day over 11 zones, at three times the mean.
   */
  private static final double PEAK_JOBS_PER_SECOND = 44_000.0 / 86_400 / 11 * 3;

  private static final int SERVICE_TASKS = RUNNING_TASKS / 5;
  private static final int TEAMS = 60;
  private static final double URGENT_FRACTION = 0.5;
  private static final double GANG_FRACTION = 0.05;
  private static final double DEADLINE_FRACTION = 0.15;
  private static final double ACCELERATOR_FRACTION = 0.03;
  private static final double RUN_ERROR_SIGMA = 0.8;

  private static final int FILLER_JOBS = 100;
  private static final int FILLER_TASKS_PER_JOB = 90;
  private static final long FILLER_RUN_MILLIS = 3_600_000;
  private static final long FIRST_OTHER_ARRIVAL_MILLIS = 60_000;

  private final UniformRandomProvider random;
  private final double load;

  /** Creates a generator whose batch work is {@code load} times the capacity available to it. */
  public WorkloadGenerator(long seed, double load) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.load = load;
  }

  /** Returns workers in racks of eight, one in twenty of them with four accelerators. */
  public static List<ListedWorker> workers(int count) {
    List<ListedWorker> workers = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      int accelerators = i % 20 == 19 ? 4 : 0;
      Resources capacity = new Resources(WORKER_MILLICORES, WORKER_MEBIBYTES, accelerators);
      workers.add(new ListedWorker(String.format("w%05d", i), "rack" + i / 8, capacity, false));
    }
    return workers;
  }

  /** Returns teams with weights from 1 to 8; the first ones have the most work. */
  public static List<TeamPolicy> teams(int count, long limitMillicores) {
    List<TeamPolicy> teams = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      teams.add(new TeamPolicy(String.format("team%04d", i), 1 + i * 5 % 8, limitMillicores));
    }
    return teams;
  }

  /** Returns the workload of {@code durationMillis}. */
  public Workload generate(long durationMillis) {
    List<ListedWorker> workers = workers(WORKERS);
    long capacity = WORKERS * WORKER_MILLICORES;
    List<TeamPolicy> teams = teams(TEAMS, capacity);
    List<Arrival> arrivals = new ArrayList<>();
    addServices(arrivals, teams);
    double jobsPerMilli = PEAK_JOBS_PER_SECOND / 1_000;
    double time = 0;
    double offeredPerMilli = load * capacity * 0.8;
    double offered = 0;
    while (time < durationMillis) {
      time += -Math.log(1 - random.nextDouble()) / jobsPerMilli;
      double scale = scale(time, offered, offeredPerMilli, jobsPerMilli);
      Arrival arrival = job(arrivals.size(), (long) time, teams, scale);
      offered += work(arrival);
      arrivals.add(arrival);
    }
    return new Workload(workers, teams, arrivals);
  }

  /**
   * Returns a zone that the first team has filled with long batch tasks, and work of other teams
   * that arrives later: urgent jobs, gang jobs and small batch jobs.
   */
  public Workload generateFilledZone(long durationMillis) {
    List<TeamPolicy> teams = teams(TEAMS, WORKERS * WORKER_MILLICORES);
    List<Arrival> arrivals = new ArrayList<>();
    addServices(arrivals, teams);
    for (int i = 0; i < FILLER_JOBS; i++) {
      JobDescription description =
          description(
              teams.getFirst().name(),
              JobKind.BATCH,
              Urgency.NORMAL,
              4_000,
              FILLER_TASKS_PER_JOB,
              0,
              FILLER_RUN_MILLIS);
      arrivals.add(new Arrival(0, "lent" + i, description, runs(description)));
    }
    double time = FIRST_OTHER_ARRIVAL_MILLIS;
    while (time < durationMillis) {
      time += -Math.log(1 - random.nextDouble()) / (PEAK_JOBS_PER_SECOND / 1_000);
      List<TeamPolicy> others = teams.subList(1, teams.size());
      arrivals.add(job(arrivals.size(), (long) time, others, 0.05));
    }
    return new Workload(workers(WORKERS), teams, arrivals);
  }

  /** Returns the size factor of the next heavy job that keeps the offered load on target. */
  private static double scale(
      double time, double offered, double offeredPerMilli, double jobsPerMilli) {
    double perHeavyJob = offeredPerMilli / (jobsPerMilli * (1 - URGENT_FRACTION));
    double shortfall = time * offeredPerMilli - offered;
    return Math.max(0.2, Math.min(3, 1 + shortfall / (20 * perHeavyJob)));
  }

  private static double work(Arrival arrival) {
    long runMillis = arrival.actualRunMillis().stream().mapToLong(Long::longValue).sum();
    return (double) runMillis * arrival.description().resourcesPerTask().processorsMillicores();
  }

  private void addServices(List<Arrival> arrivals, List<TeamPolicy> teams) {
    int tasks = 0;
    while (tasks < SERVICE_TASKS) {
      int count = 3 + random.nextInt(27);
      long millicores = pick(1_000, 2_000, 4_000, 8_000);
      JobDescription description =
          description(team(teams), JobKind.SERVICE, Urgency.NORMAL, millicores, count, 0, 0);
      arrivals.add(new Arrival(0, "service" + arrivals.size(), description, List.of()));
      tasks += count;
    }
  }

  private Arrival job(int number, long atMillis, List<TeamPolicy> teams, double scale) {
    if (random.nextDouble() < URGENT_FRACTION) {
      JobDescription urgent =
          description(
              team(teams),
              JobKind.BATCH,
              Urgency.URGENT,
              pick(250, 500, 1_000),
              1 + random.nextInt(16),
              0,
              3_000);
      return new Arrival(atMillis, "job" + number, urgent, runs(urgent));
    }
    boolean isGang = random.nextDouble() < GANG_FRACTION * 2;
    JobDescription description = isGang ? gang(teams) : batch(teams, scale);
    return new Arrival(atMillis, "job" + number, description, runs(description));
  }

  private JobDescription gang(List<TeamPolicy> teams) {
    int count = 8 << random.nextInt(4);
    return description(
        team(teams), JobKind.GANG, Urgency.NORMAL, pick(8_000, 16_000), count, 0, 120_000);
  }

  private JobDescription batch(List<TeamPolicy> teams, double scale) {
    long expectedRunMillis = (long) (60_000 * Math.exp(0.8 * gaussian()));
    int count = (int) Math.max(1, scale * 360 * Math.exp(0.9 * gaussian()));
    boolean deferrable = random.nextDouble() < 0.2;
    long deadlineMillis =
        random.nextDouble() < 2 * DEADLINE_FRACTION ? 3 * expectedRunMillis + 120_000 : 0;
    return description(
        team(teams),
        JobKind.BATCH,
        deferrable ? Urgency.DEFERRABLE : Urgency.NORMAL,
        pick(1_000, 2_000, 4_000, 8_000, 16_000),
        Math.min(count, 3_000),
        deadlineMillis,
        expectedRunMillis);
  }

  private JobDescription description(
      String team,
      JobKind kind,
      Urgency urgency,
      long millicores,
      int count,
      long deadlineMillis,
      long expectedRunMillis) {
    long mebibytes = Math.max(256, (long) (millicores * 1.4 * Math.exp(0.5 * gaussian())));
    boolean accelerated =
        kind == JobKind.BATCH
            && urgency != Urgency.URGENT
            && random.nextDouble() < ACCELERATOR_FRACTION;
    int tasks = accelerated ? Math.min(count, 60) : count;
    Resources size =
        new Resources(millicores, Math.min(mebibytes, WORKER_MEBIBYTES / 2), accelerated ? 1 : 0);
    return new JobDescription(
        "job",
        team,
        kind,
        "queue",
        urgency,
        size,
        tasks,
        List.of(),
        kind == JobKind.SERVICE ? Math.max(2, tasks / 6) : 0,
        deadlineMillis,
        expectedRunMillis,
        random.nextDouble() < 0.5,
        random.nextDouble() < 0.8,
        "run");
  }

  private List<Long> runs(JobDescription description) {
    double jobFactor = Math.exp(RUN_ERROR_SIGMA * gaussian());
    return LongStream.range(0, description.taskCount())
        .map(
            i ->
                Math.max(
                    200,
                    (long)
                        (description.expectedRunMillis() * jobFactor * Math.exp(0.3 * gaussian()))))
        .boxed()
        .toList();
  }

  /** Selects a team at random, skewed so that a few teams have most of the work. */
  private String team(List<TeamPolicy> teams) {
    double skewed = Math.pow(random.nextDouble(), 2.2);
    return teams.get((int) (skewed * teams.size())).name();
  }

  private long pick(long... values) {
    return values[random.nextInt(values.length)];
  }

  private double gaussian() {
    double radius = Math.sqrt(-2 * Math.log(1 - random.nextDouble()));
    return radius * Math.cos(2 * Math.PI * random.nextDouble());
  }
}
