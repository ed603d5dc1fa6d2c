package org.cicadaford.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cicadaford.cell.Action;
import org.cicadaford.cell.AdvicePolicy;
import org.cicadaford.cell.Batch;
import org.cicadaford.cell.CellConfig;
import org.cicadaford.cell.ClockReading;
import org.cicadaford.cell.Coordinator;
import org.cicadaford.cell.CoordinatorSettings;
import org.cicadaford.cell.EndKind;
import org.cicadaford.cell.JobSpec;
import org.cicadaford.cell.ListedWorker;
import org.cicadaford.cell.Queue;
import org.cicadaford.cell.ReportedEnd;
import org.cicadaford.cell.ReportedRun;
import org.cicadaford.cell.StartOutcome;
import org.cicadaford.cell.StepSpec;
import org.cicadaford.cell.Submitter;
import org.cicadaford.cell.TeamShare;
import org.cicadaford.cell.WorkerReport;
import org.cicadaford.model.Resources;

/**
 * Simulates the load of a cell of healthy workers on a {@link Coordinator} in virtual time and
 * measures the processor time of its decisions.
 *
 * <p>The load is that of a cell about three quarters full: urgent tasks of under a second, batch
 * tasks of some seconds and gangs, with placement advice, in proportion to the number of workers.
 */
final class CellLoadSimulator {

  /** Latency of an append. */
  private static final long APPEND_MILLIS = 4;

  private static final int WORKERS_PER_RACK = 20;
  private static final int ZONES = 5;
  private static final int WORKERS_PER_AGENT = 6;
  private static final long LIST_INTERVAL_MILLIS = 300;

  /** Submitted jobs per second and worker. */
  private static final double JOBS_PER_WORKER = 0.275;

  /**
   * Defines a kind of job.
   *
   * @param share fraction of the jobs
   * @param adviceShare fraction of the workers that advice permits
   */
  private record Kind(
      Queue queue, double share, int tasks, long millicores, long workMillis, double adviceShare) {}

  private record Event(long atMillis, long number, Runnable action) {}

  /** Holds a run that a simulated worker has started. */
  private record Run(String task, int number, long endsAtMillis) {}

  private static final class SimulatedWorker {
    private final ListedWorker listing;
    private final Map<String, Run> runs = new HashMap<>();
    private final List<ReportedEnd> ends = new ArrayList<>();
    private long endCount;
    private SentRenewal waiting;

    private SimulatedWorker(ListedWorker listing) {
      this.listing = listing;
    }
  }

  private final Coordinator coordinator =
      new Coordinator(CoordinatorSettings.forPlatform(6_000, 20_000));
  private final Map<String, SimulatedWorker> workers = new LinkedHashMap<>();
  private final List<Kind> kinds;
  private final UniformRandomProvider random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
  private final Map<String, Kind> kindByJob = new HashMap<>();
  private long nowMillis = 1_000;
  private long eventNumber;
  private long jobNumber;
  private boolean appendOpen;
  private boolean roundDue;
  private long decisionNanos;
  private long decisionEvents;
  private long startedTasks;
  private long journalBytes;

  CellLoadSimulator(int workerCount, long seed) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    kinds =
        List.of(
            kind("batch", 1, 0.08, 10, 18_000, 5_000, 0.35, new AdvicePolicy(400, 5.8, 2_500)),
            kind("settle", 2, 0.11, 17, 10_000, 2_200, 0.45, new AdvicePolicy(140, 2, 2_500)),
            kind("check", 0, 0.81, 3, 15_000, 800, 0.7, new AdvicePolicy(19, 0.27, 2_500)));
    for (int index = 0; index < workerCount; index++) {
      String id = "worker-" + index;
      workers.put(
          id,
          new SimulatedWorker(
              new ListedWorker(
                  id,
                  1,
                  "service",
                  "10.0.0.1:" + index,
                  "zone-" + index % ZONES,
                  false,
                  0,
                  new Resources(64_000, 131_072, 0),
                  Set.of("kind", "rack-" + index / WORKERS_PER_RACK),
                  "rack-" + index / WORKERS_PER_RACK)));
    }
    configure(Math.max(2, workerCount / WORKERS_PER_AGENT));
  }

  private static Kind kind(
      String name,
      int priority,
      double share,
      int tasks,
      long millicores,
      long workMillis,
      double adviceShare,
      AdvicePolicy advice) {
    Queue queue =
        new Queue(name, "host", "/" + name, "service", priority, 4, 2, 250, 3_000, false, advice);
    return new Kind(queue, share, tasks, millicores, workMillis, adviceShare);
  }

  private void configure(int agentCount) {
    List<TeamShare> teams = new ArrayList<>();
    for (int team = 0; team < 20; team++) {
      teams.add(new TeamShare("team-" + team, Set.of(), 0, Resources.NONE));
    }
    coordinator.configure(
        new CellConfig(1, kinds.stream().map(Kind::queue).toList(), teams), Set.of());
    Set<String> agents = new HashSet<>();
    for (int agent = 0; agent < agentCount; agent++) {
      agents.add("instance-" + agent);
    }
    coordinator.adviceCallersChanged(agents, now());
  }

  private ClockReading now() {
    return new ClockReading(nowMillis, nowMillis);
  }

  /** Advances the simulation by {@code millis}. */
  void run(long millis) {
    long endMillis = nowMillis + millis;
    double jobsPerMilli = workers.size() * JOBS_PER_WORKER / 1_000;
    double dueJobs = 0;
    while (nowMillis < endMillis) {
      nowMillis++;
      dueJobs += jobsPerMilli;
      for (; dueJobs >= 1; dueJobs--) {
        submit();
      }
      while (!events.isEmpty() && events.peek().atMillis() <= nowMillis) {
        events.poll().action().run();
      }
      if (nowMillis % LIST_INTERVAL_MILLIS == 0) {
        List<ListedWorker> list = workers.values().stream().map(w -> w.listing).toList();
        decide(() -> coordinator.workersListed(list, now(), now()));
      }
      if (roundDue || nowMillis % 25 == 0) {
        roundDue = false;
        round();
      }
    }
  }

  /** Resets the measured counts. */
  void resetCounts() {
    decisionNanos = 0;
    decisionEvents = 0;
    startedTasks = 0;
    journalBytes = 0;
  }

  /** Returns the processor time of the decisions. */
  long decisionNanos() {
    return decisionNanos;
  }

  /** Returns the number of events that the coordinator has processed. */
  long decisionEvents() {
    return decisionEvents;
  }

  long startedTasks() {
    return startedTasks;
  }

  long journalBytes() {
    return journalBytes;
  }

  long runningTasks() {
    return workers.values().stream().mapToLong(worker -> worker.runs.size()).sum();
  }

  private void decide(Runnable event) {
    long start = ThreadCpuClock.nanos();
    event.run();
    decisionNanos += ThreadCpuClock.nanos() - start;
    decisionEvents++;
    roundDue = true;
  }

  private void submit() {
    double sampled = random.nextDouble();
    Kind kind = kinds.getLast();
    for (Kind candidate : kinds) {
      sampled -= candidate.share();
      if (sampled < 0) {
        kind = candidate;
        break;
      }
    }
    int tasks = 1 + random.nextInt(2 * kind.tasks() - 1);
    long millicores = (long) (kind.millicores() * (0.5 + random.nextDouble()));
    boolean gang = kind.queue().priority() == 1;
    StepSpec step =
        new StepSpec(
            tasks,
            new Resources(millicores, 1_000, 0),
            kind.workMillis(),
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
    JobSpec spec = new JobSpec("payload", List.of(step), 0, 0, 0);
    String id = String.format("%016x", ++jobNumber);
    kindByJob.put(id, kind);
    Queue queue = kind.queue();
    Submitter submitter =
        new Submitter("team-" + random.nextInt(20), "zone-" + random.nextInt(ZONES));
    decide(() -> coordinator.submit(id, queue, submitter, spec, now()));
  }

  private void round() {
    long start = ThreadCpuClock.nanos();
    coordinator.roleConfirmed(now());
    coordinator.advance(now());
    List<Action> actions = coordinator.takeActions();
    Optional<Batch> batch = appendOpen ? Optional.empty() : coordinator.takeBatch();
    decisionNanos += ThreadCpuClock.nanos() - start;
    actions.forEach(this::execute);
    batch.ifPresent(this::append);
  }

  private void append(Batch batch) {
    appendOpen = true;
    batch.writes().forEach(write -> journalBytes += write.key().length() + write.value().length);
    after(
        APPEND_MILLIS,
        () -> {
          appendOpen = false;
          decide(() -> coordinator.batchStored(now()));
          coordinator.takeActions().forEach(this::execute);
        });
  }

  private void after(long delayMillis, Runnable action) {
    events.add(new Event(nowMillis + delayMillis, eventNumber++, action));
  }

  private void execute(Action action) {
    switch (action) {
      case Action.StartTask start -> after(1, () -> start(start));
      case Action.Renew renew -> {
        SentRenewal sent = new SentRenewal(nowMillis, coordinator.lastEventNumber());
        after(1, () -> renew(renew, sent));
      }
      case Action.RequestAdvice request -> advise(request);
      case Action.StopTask stop -> after(1, () -> stop(stop));
      // Confirmations and log lines need no response.
      default -> {}
    }
  }

  private void start(Action.StartTask order) {
    SimulatedWorker worker = workers.get(order.workerId());
    Kind kind = kindByJob.get(order.task().substring(0, 16));
    Run run = new Run(order.task(), order.run(), nowMillis + kind.workMillis());
    worker.runs.put(order.task(), run);
    startedTasks++;
    after(kind.workMillis(), () -> end(worker, run));
    after(
        1,
        () ->
            decide(
                () ->
                    coordinator.startAnswered(
                        order.workerId(),
                        order.task(),
                        order.run(),
                        StartOutcome.STARTED,
                        nowMillis,
                        now())));
  }

  private void stop(Action.StopTask order) {
    SimulatedWorker worker = workers.get(order.workerId());
    Run run = worker.runs.remove(order.task());
    if (run != null) {
      end(worker, run, EndKind.STOPPED);
    }
    decide(
        () ->
            coordinator.stopConfirmed(
                order.workerId(), order.task(), order.run(), coordinator.lastEventNumber(), now()));
  }

  private void end(SimulatedWorker worker, Run run) {
    if (worker.runs.remove(run.task(), run)) {
      end(worker, run, EndKind.DONE);
    }
  }

  private void end(SimulatedWorker worker, Run run, EndKind kind) {
    worker.ends.add(new ReportedEnd(++worker.endCount, run.task(), run.number(), kind, ""));
    if (worker.waiting != null) {
      report(worker);
    }
  }

  private void renew(Action.Renew order, SentRenewal sent) {
    SimulatedWorker worker = workers.get(order.workerId());
    worker.ends.removeIf(end -> end.number() <= order.acknowledgedEnd());
    worker.waiting = sent;
    if (!worker.ends.isEmpty() || order.waitMillis() == 0) {
      report(worker);
    } else {
      after(
          order.waitMillis(),
          () -> {
            if (worker.waiting == sent) {
              report(worker);
            }
          });
    }
  }

  private void report(SimulatedWorker worker) {
    SentRenewal answered = worker.waiting;
    worker.waiting = null;
    List<ReportedRun> rows = new ArrayList<>();
    for (Run run : worker.runs.values()) {
      rows.add(new ReportedRun(run.task(), run.number(), "", 50, 0));
    }
    WorkerReport report =
        new WorkerReport(
            worker.listing.id(),
            1,
            nowMillis,
            answered.atMillis(),
            rows,
            List.copyOf(worker.ends),
            true);
    after(
        1, () -> decide(() -> coordinator.reportReceived(report, answered.requestNumber(), now())));
  }

  private void advise(Action.RequestAdvice request) {
    String jobId = request.step().substring(0, 16);
    Kind kind = kindByJob.get(jobId);
    Map<String, String> tickets = new HashMap<>();
    for (String workerId : request.workerIds()) {
      int sampled = (jobId + workerId).hashCode() % 1_000;
      if (Math.abs(sampled) < kind.adviceShare() * 1_000) {
        tickets.put(workerId, "ticket-" + workerId);
      }
    }
    after(
        kind.queue().advice().callMillis(request.workerIds().size()),
        () -> decide(() -> coordinator.adviceAnswered(request.callId(), tickets, 2_500, now())));
  }
}
