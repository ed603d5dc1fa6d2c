package org.cicadaford.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.cicadaford.bench.Workload.Arrival;
import org.cicadaford.decision.ListedWorker;
import org.cicadaford.decision.SchedulerSettings;
import org.cicadaford.decision.TaskSizer;
import org.cicadaford.decision.TaskStatus;
import org.cicadaford.decision.TeamLimits;
import org.cicadaford.decision.ZoneScheduler;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobKind;
import org.cicadaford.model.JobState;
import org.cicadaford.model.Resources;
import org.cicadaford.model.TaskEnd;
import org.cicadaford.model.TaskId;
import org.cicadaford.model.Urgency;
import org.cicadaford.model.ZoneChange;
import org.cicadaford.model.ZoneChange.JobAdmitted;
import org.cicadaford.model.ZoneChange.JobClosed;
import org.cicadaford.model.ZoneChange.TaskEnded;
import org.cicadaford.model.ZoneChange.TaskPlaced;
import org.cicadaford.model.ZoneChange.TaskStopping;

/** Simulates the scheduler and the zone state on a workload in virtual time. */
public final class ZoneSimulation {

  /** Time between two decisions; an owner appends at most every 50 ms. */
  private static final long DECISION_INTERVAL_MILLIS = 100;

  /** Time from a stop order to the end of the task. */
  private static final long STOP_MILLIS = 300;

  private static final long SAMPLE_INTERVAL_MILLIS = 5_000;

  private record Ending(long atMillis, TaskId taskId, int attempt, TaskEnd end) {}

  /**
   * Defines the period in which the zone is out of service.
   *
   * @param fromMillis start of the period
   * @param toMillis end of the period
   */
  public record Outage(long fromMillis, long toMillis) {}

  private final Workload workload;
  private final long warmUpMillis;
  private final long endMillis;
  private final Outage outage;
  private final BenchmarkZone zone;
  private final Map<String, Arrival> arrivalsById = new HashMap<>();
  private final PriorityQueue<Ending> endings =
      new PriorityQueue<>((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
  private final Map<TaskId, Long> checkpointedMillis = new HashMap<>();
  private final Map<String, Integer> unendedByJob = new HashMap<>();
  private final Set<TaskId> started = new HashSet<>();
  private final Map<String, Histogram> waiting = new TreeMap<>();
  private final Histogram decisionMicros = new Histogram(3);
  private final FairnessMeter fairness;
  private int arrivedCount;
  private int deadlineTasks;
  private int lateTasks;
  private long stops;
  private long placements;
  private long decideNanos;
  private double workCoreSeconds;
  private double packingSum;
  private int packingCount;

  /** Creates a simulation; {@code outage} may be null. */
  public ZoneSimulation(Workload workload, long warmUpMillis, long endMillis, Outage outage) {
    this.workload = workload;
    this.warmUpMillis = warmUpMillis;
    this.endMillis = endMillis;
    this.outage = outage;
    this.zone = new BenchmarkZone(workload.workers(), workload.teams(), false);
    Resources total =
        workload.workers().stream()
            .map(ListedWorker::capacity)
            .reduce(Resources.NONE, Resources::plus);
    this.fairness = new FairnessMeter(workload.teams(), total);
  }

  /** Runs the simulation and returns its measurements. */
  public SimulationResult run(String variant, SchedulerSettings settings) {
    ZoneScheduler scheduler =
        new ZoneScheduler(BenchmarkZone.NAME, settings, TeamLimits.recorded(BenchmarkZone.NAME));
    for (long now = 0; now < endMillis; now += DECISION_INTERVAL_MILLIS) {
      applyOutage(now);
      List<ZoneChange> events = new ArrayList<>();
      admit(now, events);
      endTasks(now, events);
      if (!events.isEmpty()) {
        zone.record(events, now);
      }
      decide(scheduler, now);
      if (now >= warmUpMillis && now % SAMPLE_INTERVAL_MILLIS == 0) {
        sample();
      }
    }
    countUnstarted();
    return new SimulationResult(
        variant,
        waiting,
        packingCount == 0 ? Double.NaN : packingSum / packingCount,
        fairness.jainIndex(),
        workCoreSeconds,
        deadlineTasks == 0 ? 0 : (double) lateTasks / deadlineTasks,
        stops,
        placements,
        decideNanos / 1e9,
        decisionMicros);
  }

  private void applyOutage(long now) {
    if (outage != null && now == outage.fromMillis()) {
      zone.setOut(true);
    } else if (outage != null && now == outage.toMillis()) {
      zone.setOut(false);
    }
  }

  private void admit(long now, List<ZoneChange> events) {
    List<Arrival> arrivals = workload.arrivals();
    while (arrivedCount < arrivals.size() && arrivals.get(arrivedCount).atMillis() <= now) {
      Arrival arrival = arrivals.get(arrivedCount++);
      int count = arrival.description().taskCount();
      arrivalsById.put(arrival.jobId(), arrival);
      unendedByJob.put(arrival.jobId(), count);
      events.add(
          new JobAdmitted(
              arrival.jobId(),
              arrival.description(),
              IntStream.range(0, count).boxed().toList(),
              arrival.atMillis()));
      if (isCounted(arrival) && hasDeadlineInRun(arrival)) {
        deadlineTasks += count;
        lateTasks += count;
      }
    }
  }

  private boolean isCounted(Arrival arrival) {
    return arrival.atMillis() >= warmUpMillis;
  }

  private boolean hasDeadlineInRun(Arrival arrival) {
    long deadline = arrival.description().deadlineMillis();
    return deadline > 0 && arrival.atMillis() + deadline <= endMillis;
  }

  private void endTasks(long now, List<ZoneChange> events) {
    while (!endings.isEmpty() && endings.peek().atMillis() <= now) {
      Ending ending = endings.poll();
      TaskStatus task = zone.state().task(ending.taskId()).orElse(null);
      boolean current = task != null && task.isCommitted() && task.attempt() == ending.attempt();
      boolean stopped = current && task.phase() == TaskStatus.Phase.STOPPING;
      if (current && (ending.end() != TaskEnd.COMPLETED || !stopped)) {
        end(task, ending, now, events);
      }
    }
  }

  private void end(TaskStatus task, Ending ending, long now, List<ZoneChange> events) {
    events.add(new TaskEnded(task.taskId(), task.attempt(), ending.end(), "", now));
    Arrival arrival = arrivalsById.get(task.taskId().jobId());
    long ranMillis = now - task.placedAtMillis();
    if (ending.end() == TaskEnd.PREEMPTED) {
      if (arrival.description().checkpointable()) {
        checkpointedMillis.merge(task.taskId(), ranMillis, Long::sum);
      }
      return;
    }
    if (now >= warmUpMillis) {
      long useful = arrival.actualRunMillis().get(task.taskId().index());
      workCoreSeconds += useful * task.reserved().processorsMillicores() / 1e6;
    }
    long deadline = arrival.description().deadlineMillis();
    if (isCounted(arrival) && hasDeadlineInRun(arrival) && now <= arrival.atMillis() + deadline) {
      lateTasks--;
    }
    if (unendedByJob.merge(arrival.jobId(), -1, Integer::sum) == 0) {
      events.add(new JobClosed(arrival.jobId(), JobState.COMPLETED, "", now));
    }
  }

  private void decide(ZoneScheduler scheduler, long now) {
    long startNanos = ThreadCpuClock.nanos();
    List<ZoneChange> changes = scheduler.decide(zone.inputs(now), TaskSizer.DECLARED, now);
    long nanos = ThreadCpuClock.nanos() - startNanos;
    if (now >= warmUpMillis) {
      decideNanos += nanos;
      decisionMicros.recordValue(nanos / 1_000);
    }
    if (changes.isEmpty()) {
      return;
    }
    zone.record(changes, now);
    for (ZoneChange change : changes) {
      if (change instanceof TaskPlaced placed) {
        start(placed, now);
      } else if (change instanceof TaskStopping stopping) {
        stops += now >= warmUpMillis ? 1 : 0;
        endings.add(
            new Ending(
                now + STOP_MILLIS, stopping.taskId(), stopping.attempt(), stopping.reason()));
      }
    }
  }

  private void start(TaskPlaced placed, long now) {
    Arrival arrival = arrivalsById.get(placed.taskId().jobId());
    placements += now >= warmUpMillis ? 1 : 0;
    if (started.add(placed.taskId()) && isCounted(arrival)) {
      recordWaiting(arrival, now);
    }
    if (arrival.description().kind() != JobKind.SERVICE) {
      long run = arrival.actualRunMillis().get(placed.taskId().index());
      long remainingMillis =
          Math.max(100, run - checkpointedMillis.getOrDefault(placed.taskId(), 0L));
      endings.add(
          new Ending(now + remainingMillis, placed.taskId(), placed.attempt(), TaskEnd.COMPLETED));
    }
  }

  private void recordWaiting(Arrival arrival, long now) {
    waiting
        .computeIfAbsent(workClass(arrival.description()), name -> new Histogram(3))
        .recordValue(now - arrival.atMillis());
  }

  private static String workClass(JobDescription description) {
    if (description.urgency() == Urgency.URGENT) {
      return "urgent";
    }
    if (description.resourcesPerTask().acceleratorCount() > 0) {
      return "accelerator";
    }
    if (description.kind() == JobKind.GANG) {
      return "gang";
    }
    if (description.deadlineMillis() > 0) {
      return "deadline";
    }
    return description.urgency() == Urgency.DEFERRABLE ? "deferrable" : "normal";
  }

  private void sample() {
    if (fairness.sample(zone.state())) {
      long committed = 0;
      long capacity = 0;
      for (var worker : zone.state().workers()) {
        committed += worker.committed().processorsMillicores();
        capacity += worker.capacity().processorsMillicores();
      }
      packingSum += (double) committed / capacity;
      packingCount++;
    }
  }

  private void countUnstarted() {
    for (Arrival arrival : workload.arrivals().subList(0, arrivedCount)) {
      for (int i = 0; isCounted(arrival) && i < arrival.description().taskCount(); i++) {
        if (!started.contains(new TaskId(arrival.jobId(), i))) {
          recordWaiting(arrival, endMillis);
        }
      }
    }
  }
}
