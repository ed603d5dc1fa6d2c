package org.cicadaford.decision.fake;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cicadaford.decision.AddressedCommand;
import org.cicadaford.decision.ConfigState;
import org.cicadaford.decision.LeaseHandover;
import org.cicadaford.decision.ListedWorker;
import org.cicadaford.decision.OwnerSettings;
import org.cicadaford.decision.ZoneState;
import org.cicadaford.model.ConfigRecord;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobKind;
import org.cicadaford.model.JobState;
import org.cicadaford.model.RequestRecord;
import org.cicadaford.model.RequestRecord.JobCancelled;
import org.cicadaford.model.RequestRecord.JobSubmitted;
import org.cicadaford.model.Resources;
import org.cicadaford.model.TaskId;
import org.cicadaford.model.TeamPolicy;
import org.cicadaford.model.Urgency;
import org.cicadaford.model.WorkerAnswer;
import org.cicadaford.model.WorkerCommand;
import org.cicadaford.model.ZoneRecord;

/**
 * Simulates one zone with its owners, workers and streams under random faults, and checks the
 * requirements on every event.
 */
public final class SimulatedZone implements FakeWorker.Listener {

  static final String ZONE = "kolkata";

  /** Default settings with a short outage grace period, so that a history can outlast it. */
  static final OwnerSettings SETTINGS =
      new OwnerSettings(15_000, 5_000, 3_000, 2_000, 500, 12_000, 6_000);

  private static final long START_MILLIS = 1_000_000;
  private static final int MAX_CLOCK_OFFSET_MILLIS = 250;
  private static final Resources CAPACITY = new Resources(4_000, 4_096, 0);

  /**
   * Violations by the id of the requirement, empty if there are none: R1 worker capacity, R2 one
   * run of a task at a time, R6 no starts in a zone taken out, R9 one start of a non-repeatable
   * task, END no run after the recorded end.
   */
  public final Map<String, List<String>> violations = new HashMap<>();

  /** Number of tasks that started. */
  public int startCount;

  final List<RequestRecord> requests = new ArrayList<>();
  final FakeLog<ZoneRecord> zoneLog;
  final FakeLog<ConfigRecord> configLog;
  final ZoneState zone = new ZoneState();
  private final SplittableRandom random;
  private final EventScheduler events;
  private final ConfigState config = new ConfigState();
  private final List<FakeOwner> owners = new ArrayList<>();
  private final List<FakeWorker> workers = new ArrayList<>();
  private final Map<String, Integer> startsByTask = new HashMap<>();
  private final Set<String> cutLinks = new HashSet<>();
  private long zoneTakenOutAtMillis = Long.MAX_VALUE;
  private int zoneOffset;
  private int configOffset;
  private boolean faulty = true;

  /** Creates a simulation whose history depends only on the seed. */
  public SimulatedZone(long seed) {
    random = new SplittableRandom(seed);
    events = new EventScheduler(START_MILLIS, this::tick);
    zoneLog = new FakeLog<>(events, random, this::onZoneRecord);
    configLog = new FakeLog<>(events, random, this::onConfigRecord);
    // Without a first record the configuration would not be complete and nothing would start.
    configLog.faulty = false;
    configLog.append(
        new ConfigRecord.ConfigPublished(
            "first",
            ConfigState.NO_OFFSET,
            List.of(),
            List.of(new TeamPolicy("team", 1, 4 * CAPACITY.processorsMillicores())),
            List.of(),
            List.of(),
            List.of(),
            List.of()));
    configLog.faulty = true;
    for (int i = 0; i < 3; i++) {
      owners.add(new FakeOwner("owner-" + i, this, clockOffset()));
    }
    for (int i = 0; i < 4; i++) {
      addWorker();
    }
  }

  private long clockOffset() {
    return random.nextInt(2 * MAX_CLOCK_OFFSET_MILLIS + 1) - MAX_CLOCK_OFFSET_MILLIS;
  }

  private void addWorker() {
    workers.add(new FakeWorker("worker-" + workers.size(), CAPACITY, clockOffset(), this));
  }

  int random(int bound) {
    return random.nextInt(bound);
  }

  long nowMillis() {
    return events.nowMillis();
  }

  /** Runs the given number of steps with random faults. */
  public void run(int steps) {
    for (int step = 0; step < steps; step++) {
      events.advance(1 + random(60));
      owners.forEach(FakeOwner::step);
      generateRequests();
      injectFault();
    }
  }

  /**
   * Ends all faults, brings the zone in and runs until all work has ended or {@code maxSteps} have
   * passed.
   */
  public void settle(int maxSteps) {
    workers.forEach(worker -> worker.leaving = false);
    faulty = false;
    zoneLog.faulty = false;
    configLog.faulty = false;
    cutLinks.clear();
    workers.forEach(worker -> worker.paused = false);
    workers.forEach(worker -> worker.failsAll = false);
    owners.forEach(owner -> owner.pausedUntilMillis = 0);
    owners.forEach(owner -> owner.cutOffUntilMillis = 0);
    events.advance(10_000);
    if (config.isZoneTakenOut(ZONE)) {
      setZoneTakenOut(false);
    }
    for (RequestRecord request : List.copyOf(requests)) {
      if (request instanceof JobSubmitted job && job.description().kind() == JobKind.SERVICE) {
        requests.add(new JobCancelled("cancel", job.jobId(), "team"));
      }
    }
    owners.get(0).claim();
    for (int step = 0; step < maxSteps && (step % 200 != 0 || !unsettled().isEmpty()); step++) {
      events.advance(1 + random(60));
      owners.forEach(FakeOwner::step);
    }
  }

  private void generateRequests() {
    if (random(80) == 0) {
      submit();
    }
    if (random(400) == 0 && !requests.isEmpty()) {
      String jobId = "job-" + random(requests.size());
      requests.add(new JobCancelled("cancel", jobId, "team"));
    }
  }

  private void submit() {
    JobKind kind = random(4) == 0 ? JobKind.SERVICE : JobKind.BATCH;
    boolean repeatable = random(2) == 0;
    long runMillis = kind == JobKind.SERVICE ? 60_000 : 200 + random(10_000);
    String jobId = "job-" + requests.size();
    JobDescription description =
        new JobDescription(
            jobId,
            "team",
            kind,
            "queue",
            Urgency.NORMAL,
            new Resources(500 + 500 * random(4), 256, 0),
            1,
            List.of(),
            0,
            0,
            runMillis,
            random(2) == 0,
            repeatable,
            random(6) == 0 ? "fail" : "run");
    List<Integer> indexes = random(2) == 0 ? List.of(0) : List.of(0, 1);
    requests.add(
        new JobSubmitted(jobId, jobId, jobId, description, Map.of(ZONE, indexes), nowMillis()));
  }

  private void injectFault() {
    FakeOwner owner = owners.get(random(owners.size()));
    FakeWorker worker = workers.get(random(workers.size()));
    switch (random(1_200)) {
      case 0, 1 -> owner.pausedUntilMillis = nowMillis() + random(25_000);
      case 2 -> owner.cutOffUntilMillis = nowMillis() + random(60_000);
      case 3, 4, 5 -> cutLink(owner, worker);
      case 6 -> worker.restart();
      case 7 -> kill(worker);
      case 8 -> pause(worker);
      case 9 -> worker.failsAll = random(2) == 0;
      case 10 -> worker.leaving = random(3) == 0;
      case 11, 12 -> owner.claim();
      case 13, 14, 15, 16, 17 -> takeOutForAWhile(owner);
      default -> {
        if (random(20) == 0 && owners.stream().noneMatch(FakeOwner::isOwner)) {
          owner.claim();
        }
      }
    }
  }

  private void cutLink(FakeOwner owner, FakeWorker worker) {
    String link = owner.id + " " + worker.id;
    cutLinks.add(link);
    events.schedule(random(40_000), () -> cutLinks.remove(link));
  }

  private void kill(FakeWorker worker) {
    if (worker.dead) {
      return;
    }
    worker.restart();
    worker.dead = true;
    events.schedule(random(8_000), () -> worker.listed = false);
    addWorker();
  }

  private void pause(FakeWorker worker) {
    worker.paused = true;
    events.schedule(random(30_000), () -> worker.paused = false);
  }

  /** Takes the zone out for a while, sometimes during a pause of an owner with unsent starts. */
  private void takeOutForAWhile(FakeOwner owner) {
    if (random(2) == 0) {
      owner.pausedUntilMillis = nowMillis() + random(12_000);
    }
    setZoneTakenOut(true);
    events.schedule(4_000 + random(12_000), () -> setZoneTakenOut(false));
  }

  private void setZoneTakenOut(boolean takenOut) {
    if (config.isZoneTakenOut(ZONE) == takenOut) {
      return;
    }
    long version = config.zoneVersion(ZONE);
    configLog.append(
        takenOut
            ? new ConfigRecord.ZoneTakenOut("out", ZONE, version)
            : new ConfigRecord.ZoneBroughtIn("in", ZONE, version));
  }

  List<ListedWorker> listedWorkers() {
    return workers.stream()
        .filter(worker -> worker.listed)
        .map(worker -> new ListedWorker(worker.id, "rack", worker.capacity, worker.leaving))
        .toList();
  }

  void sendHandover(FakeOwner sender, LeaseHandover handOver) {
    for (FakeOwner owner : owners) {
      if (owner != sender) {
        events.schedule(random(2_000), () -> owner.onHandOver(handOver));
      }
    }
  }

  /** Delivers a command and then the answer; null means that no answer came in time. */
  void deliver(FakeOwner owner, AddressedCommand command, Consumer<WorkerAnswer> onAnswer) {
    FakeWorker worker =
        workers.stream().filter(w -> w.id.equals(command.workerId())).findFirst().orElseThrow();
    int faultDraw = faulty ? random(100) : 100;
    boolean cut = cutLinks.contains(owner.id + " " + worker.id);
    if (cut || worker.dead || faultDraw < 3) {
      events.schedule(1_000, () -> onAnswer.accept(null));
      return;
    }
    events.schedule(
        faultDraw < 6 ? random(6_000) : 1 + random(40),
        () -> {
          if (worker.dead || worker.paused) {
            events.schedule(1_000, () -> onAnswer.accept(null));
            return;
          }
          WorkerAnswer answer = worker.handle(command.command(), nowMillis());
          boolean lost = faultDraw < 9;
          events.schedule(
              lost ? 1_000 : 1 + random(40), () -> onAnswer.accept(lost ? null : answer));
        });
  }

  private void onZoneRecord(ZoneRecord record) {
    zone.apply(zoneOffset++, record);
  }

  private void onConfigRecord(ConfigRecord record) {
    config.apply(configOffset++, record);
    if (!config.isZoneTakenOut(ZONE)) {
      zoneTakenOutAtMillis = Long.MAX_VALUE;
    } else if (zoneTakenOutAtMillis == Long.MAX_VALUE) {
      zoneTakenOutAtMillis = nowMillis();
    }
  }

  @Override
  public void onCheckpoint(TaskId taskId) {
    startsByTask.remove(taskId.toString());
  }

  @Override
  public void onStart(FakeWorker worker, WorkerCommand.Start start) {
    startCount++;
    String task = start.lease().taskId().toString();
    for (FakeWorker other : workers) {
      boolean runs =
          !other.paused
              && other != worker
              && other.running.keySet().stream()
                  .anyMatch(lease -> lease.taskId().equals(start.lease().taskId()));
      check("R2", !runs, () -> task + " runs on " + other.id + " and starts on " + worker.id);
    }
    check(
        "R6",
        zoneTakenOutAtMillis == Long.MAX_VALUE || nowMillis() - zoneTakenOutAtMillis <= 4_000,
        () ->
            task + " starts " + (nowMillis() - zoneTakenOutAtMillis) + " ms after the zone is out");
    boolean repeatable =
        zone.job(start.lease().taskId().jobId())
            .map(
                job ->
                    job.description().repeatable() || job.description().kind() == JobKind.SERVICE)
            .orElse(false);
    int starts = startsByTask.merge(task, 1, Integer::sum);
    check("R9", repeatable || starts == 1, () -> task + " started " + starts + " times");
  }

  private void tick() {
    for (FakeWorker worker : workers) {
      worker.tick(nowMillis());
      checkCapacity(worker);
    }
  }

  private void checkCapacity(FakeWorker worker) {
    Resources used = Resources.NONE;
    Set<Object> committed = new HashSet<>();
    for (var task : zone.committedTasksOn(worker.id)) {
      used = used.plus(task.reserved());
      committed.add(new WorkerCommand.Lease(task.taskId(), task.attempt()));
    }
    for (var run : worker.running.entrySet()) {
      if (!worker.paused && !committed.contains(run.getKey())) {
        used = used.plus(run.getValue().start.reserved());
        check("END", false, () -> run.getKey() + " runs on " + worker.id + " after its end");
      }
    }
    Resources total = used;
    check("R1", total.fitsIn(worker.capacity), () -> worker.id + " holds " + total);
  }

  private void check(String id, boolean holds, Supplier<String> what) {
    if (!holds) {
      violations.computeIfAbsent(id, key -> new ArrayList<>()).add(nowMillis() + " " + what.get());
    }
  }

  /** Returns the requests, tasks and jobs that have not ended after {@link #settle}. */
  public List<String> unsettled() {
    List<String> found = new ArrayList<>();
    if (zone.requestsOffset() < requests.size()) {
      found.add("requests from " + zone.requestsOffset() + " on are not admitted");
    }
    for (var job : zone.jobs()) {
      for (var task : zone.tasksOf(job.jobId())) {
        if (task.isCommitted() || job.state() == JobState.ACTIVE) {
          found.add(job.state() + " " + task);
        }
      }
    }
    return found;
  }
}
