package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.ToLongBiFunction;
import org.cicadaford.model.Resources;

/**
 * Simulates workers and a store around the real {@link Coordinator}, in simulated time.
 *
 * <p>Each start that a worker carries out is checked against the rules. Faults are lost answers,
 * late orders, crashes, unreachable workers and takeovers.
 */
final class SimulatedCell {

  private static final long STEP_MILLIS = 5;

  private record Event(long atMillis, long order, Runnable action) {}

  /** Probabilities of faults. */
  record Faults(double lostAnswer, double lateOrder, double failedRun) {
    static final Faults NONE = new Faults(0, 0, 0);
  }

  final Random random;
  final List<String> violations = new ArrayList<>();
  final Map<String, SimulatedWorker> workers = new LinkedHashMap<>();
  final Map<String, byte[]> store = new LinkedHashMap<>();
  final Map<String, JobSpec> accepted = new HashMap<>();
  final Map<String, Long> cancelled = new HashMap<>();
  final Map<String, List<String>> traces = new HashMap<>();
  final Map<String, Long> ended = new HashMap<>();
  private final Map<String, Long> draining = new HashMap<>();
  private final Map<String, ListedWorker> listings = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
  private final CellConfig config;
  final SimulatedRules rules = new SimulatedRules(workers.values(), this::violation);
  final SimulatedCrashes crashes = new SimulatedCrashes(this, rules);
  Faults faults = Faults.NONE;
  boolean storeDown;

  /** Whether the coordinator cannot read the worker list. */
  boolean listUnreadable;

  /** Number of workers from which a new coordinator uses their speeds. */
  int minSpeedWorkers = SpeedLearner.MIN_WORKERS;

  /** Returns the work of a task; by default what its step states. */
  ToLongBiFunction<String, StepSpec> workMillis = (task, step) -> step.estimateMillis();

  /** Number of the next advice calls that permit no worker. */
  int emptyAdvice;

  /** Share of the workers that advice permits; the ids determine which ones. */
  double permittedShare = 1;

  /** Delay of a late order, or 0 for a random delay of 2 to 12 s. */
  long lateOrderMillis;

  long nowMillis = 1_000;
  Coordinator coordinator;
  private long epoch;
  private long order;
  private boolean appendOpen;
  private Batch openBatch;

  /** A replaced coordinator that still sends orders, or null. */
  private SimulatedNetwork.Sender predecessor;

  private final SimulatedAdvice advice = new SimulatedAdvice(this);

  /** Crashes, cut-offs and other events that a test caused, for the description of a violation. */
  private final List<String> incidents = new ArrayList<>();

  final SimulatedNetwork network = new SimulatedNetwork(this);
  int starts;

  final List<Action.ReportLostRun> lostRuns = new ArrayList<>();
  final PreemptionRecorder preemptions = new PreemptionRecorder();
  private final Map<String, Integer> ordersByWorker = new HashMap<>();

  SimulatedCell(long seed, CellConfig config, int workerCount) {
    this.random = new Random(seed);
    this.config = config;
    for (int index = 0; index < workerCount; index++) {
      String id = "w" + index;
      double rate = 0.98 + 0.02 * random.nextDouble();
      workers.put(
          id,
          new SimulatedWorker(
              id, "zone-" + index % 2, new Resources(16_000, 32_000, 0), rate, 100 + index));
    }
    takeOver();
  }

  ClockReading moment() {
    return new ClockReading(nowMillis, 1_700_000_000_000L + nowMillis);
  }

  /** Replaces the coordinator by one with a higher epoch and the stored state. */
  void takeOver() {
    epoch += FencingToken.COUNT_PER_EPOCH;
    appendOpen = false;
    coordinator = new Coordinator(CoordinatorSettings.forPlatform(6_000, 600_000), minSpeedWorkers);
    List<RecordWrite> records = new ArrayList<>();
    store.forEach((key, value) -> records.add(new RecordWrite(key, value)));
    coordinator.restore(records, moment());
    coordinator.configure(config, Set.of());
    coordinator.adviceCallersChanged(Set.of("e1", "e2", "e3"), moment());
    list();
  }

  /** Returns the current coordinator as a sender of orders. */
  SimulatedNetwork.Sender sender() {
    return new SimulatedNetwork.Sender(coordinator, epoch);
  }

  /** Returns whether a sender still runs. */
  boolean active(SimulatedNetwork.Sender sender) {
    return sender.coordinator() == coordinator
        || predecessor != null && sender.coordinator() == predecessor.coordinator();
  }

  /**
   * Replaces the coordinator, which continues after a pause, for a time.
   *
   * @param stored whether the batch in transit was stored before the claim
   */
  void takeOverWhileSending(boolean stored, long pauseMillis, long sendMillis) {
    SimulatedNetwork.Sender replaced = sender();
    Batch open = stored && appendOpen ? openBatch : null;
    if (open != null) {
      store(open);
    }
    takeOver();
    after(
        pauseMillis,
        () -> {
          predecessor = replaced;
          network.count("predecessor");
          if (open != null && pauseMillis <= 1_000) {
            replaced.coordinator().batchStored(moment());
          }
        });
    after(
        pauseMillis + sendMillis, () -> predecessor = predecessor == replaced ? null : predecessor);
  }

  /** Returns the worker that listens at an address, or null. */
  SimulatedWorker workerAt(String address) {
    for (SimulatedWorker worker : workers.values()) {
      if (worker.up && worker.address.equals(address)) {
        return worker;
      }
    }
    return null;
  }

  /** Adds a worker at an address that another one had before. */
  void addWorker(String id, String address, long incarnation) {
    Resources capacity = new Resources(16_000, 32_000, 0);
    SimulatedWorker worker = new SimulatedWorker(id, "zone-0", capacity, 0.99, incarnation);
    worker.address = address;
    workers.put(id, worker);
  }

  /** Returns the number of start and stop orders sent to a worker. */
  int ordersTo(String workerId) {
    return ordersByWorker.getOrDefault(workerId, 0);
  }

  private void trace(String task, SimulatedNetwork.Sender sender, String what) {
    trace(task, (sender.coordinator() == coordinator ? "" : "predecessor ") + what);
  }

  void trace(String task, String what) {
    traces.computeIfAbsent(task, key -> new ArrayList<>()).add(nowMillis + " " + what);
  }

  private void violation(String rule, String task) {
    violations.add(nowMillis + " " + rule + " " + task + " after " + traces.get(task) + incidents);
  }

  /** Records an event that a test causes. */
  void incident(String what) {
    incidents.add(nowMillis + " " + what);
    network.count(what.split(" ")[0]);
  }

  private ListedWorker listingOf(SimulatedWorker worker) {
    Long leavesAt = draining.get(worker.id);
    ListedWorker known = listings.get(worker.id);
    boolean changed =
        known == null
            || known.incarnation() != worker.incarnation
            || known.capacity() != worker.capacity.listed()
            || known.draining() != (leavesAt != null);
    if (changed) {
      long remainingMillis = leavesAt == null ? 0 : leavesAt - nowMillis;
      listings.put(worker.id, worker.listing(leavesAt != null, remainingMillis));
    }
    return listings.get(worker.id);
  }

  /** Drains a worker, which shuts down with all its runs after a time. */
  void drain(String workerId, long millis) {
    draining.put(workerId, nowMillis + millis);
    after(millis, () -> workers.get(workerId).crash());
  }

  void list() {
    if (listUnreadable) {
      return;
    }
    List<ListedWorker> listed = new ArrayList<>();
    for (SimulatedWorker worker : workers.values()) {
      if (worker.up && worker.listed) {
        listed.add(listingOf(worker));
      }
    }
    listed.addAll(crashes.entriesOfCrashedWorkers());
    coordinator.workersListed(listed, moment(), moment());
  }

  /** Submits a job of these steps for the team of the simulation. */
  void submit(String jobId, StepSpec... steps) {
    submit(jobId, "team", SimulatedJobs.job(jobId, steps));
  }

  void submit(String jobId, String team, JobSpec spec) {
    submit(jobId, "q", team, spec);
  }

  void submit(String jobId, String queueName, String team, JobSpec spec) {
    Queue queue = config.queue(queueName).orElseThrow();
    coordinator.submit(jobId, queue, new Submitter(team, "zone-0"), spec, moment());
  }

  /** Returns the phase of a job; an accepted job is kept longer than a simulation takes. */
  JobPhase phaseOf(String jobId) {
    return coordinator.job(jobId).orElseThrow().phase();
  }

  void run(long millis) {
    long endMillis = nowMillis + millis;
    while (nowMillis < endMillis) {
      nowMillis += STEP_MILLIS;
      Map<String, Integer> gangs = SimulatedWorker.countRunsByGang(workers.values());
      workers.values().forEach(worker -> worker.updateGangs(gangs));
      workers.values().forEach(worker -> worker.advance(STEP_MILLIS, nowMillis));
      while (!events.isEmpty() && events.peek().atMillis() <= nowMillis) {
        events.poll().action().run();
      }
      if (nowMillis % 300 == 0) {
        list();
      }
      if (!storeDown) {
        coordinator.roleConfirmed(moment());
      }
      coordinator.advance(moment());
      coordinator.takeActions().forEach(this::carryOut);
      append();
      sendOfPredecessor();
    }
  }

  void after(long delayMillis, Runnable action) {
    events.add(new Event(nowMillis + delayMillis, order++, action));
  }

  private void append() {
    if (appendOpen || storeDown) {
      return;
    }
    Optional<Batch> batch = coordinator.takeBatch();
    if (batch.isEmpty()) {
      return;
    }
    appendOpen = true;
    openBatch = batch.get();
    Coordinator writer = coordinator;
    after(
        10,
        () -> {
          if (writer != coordinator) {
            return;
          }
          store(batch.get());
          appendOpen = false;
          writer.batchStored(moment());
          writer.takeActions().forEach(this::carryOut);
        });
  }

  private void store(Batch batch) {
    for (RecordWrite write : batch.writes()) {
      // An empty value deletes the record.
      store.compute(write.key(), (key, old) -> write.value().length == 0 ? null : write.value());
    }
  }

  private void sendOfPredecessor() {
    if (predecessor != null) {
      predecessor.coordinator().advance(moment());
      for (Action action : predecessor.coordinator().takeActions()) {
        network.count("order of a predecessor");
        switch (action) {
          case Action.StartTask start -> carryOut(start, predecessor);
          case Action.StopTask stop -> carryOut(stop, predecessor);
          case Action.Renew renew -> carryOut(renew, predecessor);
          default -> {
            // Only the orders to workers of a replaced coordinator have an effect.
          }
        }
      }
    }
  }

  private void carryOut(Action action) {
    carryOut(action, sender());
  }

  private void carryOut(Action action, SimulatedNetwork.Sender sender) {
    switch (action) {
      case Action.StartTask start -> {
        ordersByWorker.merge(start.workerId(), 1, Integer::sum);
        crashes.ordered(start, sender);
        trace(start.task(), sender, "order " + start.run() + " to " + start.workerId());
        network.start(start, sender);
      }
      case Action.StopTask stop -> {
        ordersByWorker.merge(stop.workerId(), 1, Integer::sum);
        trace(
            stop.task(), sender, stop.run() + " stop on " + stop.workerId() + " " + stop.reason());
        preemptions.record(stop, nowMillis);
        network.stop(stop, sender);
      }
      case Action.Renew renew -> network.renew(renew, sender);
      case Action.RequestAdvice ask ->
          advice.answer(
              ask,
              sender.coordinator(),
              config.queue("q").orElseThrow().advice().callMillis(ask.workerIds().size()));
      case Action.ReportWaitingStep waiting -> trace(waiting.step(), waiting.inputs());
      case Action.ReportDecision decision -> trace(decision.id(), decision.outcome());
      case Action.ReportLostRun lost -> lostRuns.add(lost);
      case Action.ReportJobEnd end -> ended.put(end.jobId(), end.ageMillis());
      case Action.RejectRequests reject -> trace(reject.jobId(), "rejected");
      case Action.RejectCancellation reject -> trace(reject.jobId(), "cancellation-rejected");
      case Action.ConfirmSubmission(String jobId) -> accepted.put(jobId, null);
      case Action.ConfirmCancellation cancel -> cancelled.putIfAbsent(cancel.jobId(), nowMillis);
    }
  }

  /** Lets a worker carry out a start, and checks it. */
  StartOutcome carryOutStart(SimulatedWorker worker, Action.StartTask order, long sentEpoch) {
    String[] name = order.task().split("\\.");
    StepSpec step = SimulatedJobs.specOf(name[0]).steps().get(Integer.parseInt(name[2]));
    boolean fails = random.nextDouble() < faults.failedRun();
    long millis = workMillis.applyAsLong(order.task(), step);
    SimulatedWorker.Run run = SimulatedWorker.Run.of(order, step, millis, fails);
    boolean known = worker.hasRun(order.task(), order.run());
    StartOutcome outcome = worker.start(run, sentEpoch, order.deadlineMillis());
    trace(
        order.task(),
        "start " + order.run() + " on " + worker.id + "/" + worker.incarnation + " " + outcome);
    if (outcome == StartOutcome.STARTED && !known) {
      starts++;
      rules.started(worker, run, cancelled.get(name[0]), nowMillis);
      crashes.started(worker, run);
    }
    return outcome;
  }

  /** Passes a report to the coordinator that requested it after its event with that number. */
  void reportArrived(WorkerReport report, SimulatedNetwork.Sender sender, long requestNumber) {
    if (sender.coordinator() == coordinator) {
      recordEnds(report);
    }
    sender.coordinator().reportReceived(report, requestNumber, moment());
  }

  /** Records the run ends in a report when the coordinator receives it. */
  private void recordEnds(WorkerReport report) {
    for (ReportedEnd end : report.ended()) {
      trace(end.task(), "end " + end.run() + " on " + report.workerId() + " " + end.kind());
      rules.ended(report, end);
    }
  }
}
