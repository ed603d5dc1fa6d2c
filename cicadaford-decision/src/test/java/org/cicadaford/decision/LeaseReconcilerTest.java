package org.cicadaford.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import org.cicadaford.model.ConfigRecord;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobKind;
import org.cicadaford.model.RequestRecord;
import org.cicadaford.model.Resources;
import org.cicadaford.model.TaskEnd;
import org.cicadaford.model.TaskReport;
import org.cicadaford.model.TaskReport.State;
import org.cicadaford.model.TeamPolicy;
import org.cicadaford.model.Urgency;
import org.cicadaford.model.WorkerAnswer;
import org.cicadaford.model.WorkerCommand;
import org.cicadaford.model.WorkerCommand.Lease;
import org.cicadaford.model.ZoneChange;
import org.cicadaford.model.ZoneChange.TaskStopping;
import org.cicadaford.model.ZoneRecord.OwnerBatch;
import org.cicadaford.model.ZoneRecord.OwnerClaimed;

/**
 * Guards rate limits, quarantine and evacuation of workers, with every batch read back immediately.
 */
class LeaseReconcilerTest {

  private static final Resources SIZE = new Resources(1_000, 100, 0);

  private final ZoneState zone = new ZoneState();
  private final ConfigState config = new ConfigState();
  private final List<RequestRecord> requests = new ArrayList<>();
  private final List<ListedWorker> workers = new ArrayList<>();
  private final Map<String, Map<Lease, TaskReport>> reports = new HashMap<>();
  private final ZoneOwnerPlanner planner =
      new ZoneOwnerPlanner("z", OwnerSettings.DEFAULT, LifeCycleSettings.DEFAULT, 0, 1_000);
  private List<ZoneChange> changes = List.of();
  private List<AddressedCommand> commands = List.of();
  private State runsTo = State.RUNNING;
  private long usageMillicores = 500;
  private long nowMillis = 1_000;

  LeaseReconcilerTest() {
    config.apply(
        0,
        new ConfigRecord.ConfigPublished(
            "p",
            ConfigState.NO_OFFSET,
            List.of(),
            List.of(new TeamPolicy("team", 1, 1_000_000_000)),
            List.of(),
            List.of(),
            List.of(),
            List.of()));
    config.apply(1, new ConfigRecord.AllotmentTaken("t", "z", 0, 0, "team", 1_000_000_000));
    zone.apply(0, new OwnerClaimed("c", "o", nowMillis));
  }

  private void list(int count, int tasksEach) {
    for (int i = 0; i < count; i++) {
      workers.add(new ListedWorker("worker-" + i, "r", SIZE.times(tasksEach), false));
    }
  }

  private void submit(String jobId, int taskCount, boolean repeatable) {
    List<Integer> indexes = IntStream.range(0, taskCount).boxed().toList();
    JobDescription job =
        new JobDescription(
            jobId,
            "team",
            JobKind.BATCH,
            "q",
            Urgency.NORMAL,
            SIZE,
            taskCount,
            List.of(),
            0,
            0,
            0,
            false,
            repeatable,
            "p");
    requests.add(
        new RequestRecord.JobSubmitted(jobId, jobId, jobId, job, Map.of("z", indexes), nowMillis));
  }

  /** Runs one decision, applies its batch and answers all commands after 10 ms. */
  private void round(long advanceMillis) {
    nowMillis += advanceMillis;
    int from = (int) zone.requestsOffset();
    OwnerInputs inputs =
        new OwnerInputs(
            zone,
            config,
            nowMillis,
            zone.lastBatchAtMillis(),
            workers,
            requests.subList(from, requests.size()),
            requests.size());
    OwnerDecision decision = planner.decide(inputs, nowMillis);
    decision
        .allotmentChanges()
        .forEach(change -> config.apply(config.version() + 1, change.toRecord("a", "z", 0)));
    changes = decision.changes();
    commands = decision.commands();
    zone.apply(
        zone.appliedOffset() + 1,
        new OwnerBatch(
            "b", 0, zone.sequence() + 1, nowMillis, 0, decision.requestsOffset(), changes));
    for (AddressedCommand command : commands) {
      planner.onAnswer(command, answer(command), nowMillis, nowMillis + 10);
    }
  }

  private WorkerAnswer answer(AddressedCommand command) {
    Map<Lease, TaskReport> known =
        reports.computeIfAbsent(command.workerId(), id -> new HashMap<>());
    if (command.command() instanceof WorkerCommand.Start start) {
      known.put(start.lease(), report(start.lease(), runsTo));
    } else if (command.command() instanceof WorkerCommand.Stop stop) {
      known.put(stop.lease(), report(stop.lease(), State.STOPPED));
    }
    return new WorkerAnswer(command.workerId(), List.copyOf(known.values()));
  }

  private TaskReport report(Lease lease, State state) {
    Resources usage = new Resources(usageMillicores, 100, 0);
    return new TaskReport(lease, state, "", usage, nowMillis, nowMillis + 5, nowMillis + 5_000);
  }

  private <T> List<T> sentCommands(Class<T> type) {
    return commands.stream()
        .map(AddressedCommand::command)
        .filter(type::isInstance)
        .map(type::cast)
        .toList();
  }

  private List<ZoneChange> changesOf(Class<?> type) {
    return changes.stream().filter(type::isInstance).toList();
  }

  @Example
  void failingWorkerIsQuarantinedProbedAndReleased() {
    list(1, 1);
    runsTo = State.FAILED;
    submit("a", 1, true);
    submit("b", 1, true);
    for (int i = 0; i < 20 && !worker().isQuarantined(); i++) {
      round(100);
    }
    assertThat(worker().quarantineFailureCount()).isEqualTo(3);
    assertThat(worker().quarantineUntilMillis() - nowMillis).isEqualTo(10_000);
    nowMillis = worker().quarantineUntilMillis();
    for (int i = 0; i < 5; i++) {
      round(100);
      assertThat(worker().taskCount()).isLessThanOrEqualTo(1);
    }
    assertThat(worker().quarantineFailureCount()).isEqualTo(4);
    runsTo = State.COMPLETED;
    nowMillis = worker().quarantineUntilMillis();
    for (int i = 0; i < 6; i++) {
      round(100);
    }
    assertThat(worker().isQuarantined()).isFalse();
  }

  private WorkerStatus worker() {
    return zone.worker("worker-0").orElse(new WorkerStatus("", "", SIZE, SIZE, 0, 0, 0, 0));
  }

  @Example
  void jobThatFailsEverywhereQuarantinesNoWorker() {
    list(4, 2);
    runsTo = State.FAILED;
    submit("bad", 8, true);
    for (int i = 0; i < 60; i++) {
      round(100);
      assertThat(zone.workers()).noneMatch(WorkerStatus::isQuarantined);
    }
    assertThat(zone.job("bad").orElseThrow().reason()).contains("FAILED");
  }

  @Example
  void leavingWorkersAreEvacuatedAtALimitedRateExceptNonRepeatableTasks() {
    list(10, 30);
    submit("again", 200, true);
    submit("once", 20, false);
    for (int i = 0; i < 50; i++) {
      round(100);
    }
    assertThat(zone.committedTaskCount()).isEqualTo(220);
    workers.replaceAll(ListedWorker::asLeaving);
    int stopped = 0;
    for (int i = 0; i < 10; i++) {
      round(100);
      stopped += changesOf(TaskStopping.class).size();
      assertThat(stopped).isLessThanOrEqualTo(50 + 5 * (i + 1));
      assertThat(sentCommands(WorkerCommand.Start.class)).isEmpty();
    }
    for (int i = 0; i < 100; i++) {
      round(100);
    }
    assertThat(zone.committedTaskCount()).isEqualTo(20);
  }

  /**
   * Fails when a zone that is taken out stops or starts tasks, or starts all of them at once when
   * it is brought back.
   */
  @Example
  void zoneTakenOutKeepsRunningTasksAndStartsNone() {
    list(10, 30);
    submit("running", 200, true);
    for (int i = 0; i < 50; i++) {
      round(100);
    }
    config.apply(config.version() + 1, new ConfigRecord.ZoneTakenOut("o", "z", -1));
    long outVersion = config.zoneVersion("z");
    submit("waiting", 100, true);
    for (int i = 0; i < 300; i++) {
      round(100);
      assertThat(changesOf(TaskStopping.class)).isEmpty();
      assertThat(sentCommands(WorkerCommand.Start.class)).isEmpty();
    }
    assertThat(zone.committedTaskCount()).isEqualTo(200);
    config.apply(config.version() + 1, new ConfigRecord.ZoneBroughtIn("i", "z", outVersion));
    for (int i = 0; i < 10; i++) {
      round(10);
      assertThat(sentCommands(WorkerCommand.Start.class).size()).isLessThanOrEqualTo(200);
    }
  }

  @Example
  void renewalsAreSpreadOverTheInterval() {
    list(500, 1);
    submit("job", 500, true);
    for (int i = 0; i < 200; i++) {
      round(100);
    }
    var renewed = new HashSet<String>();
    for (int i = 0; i < 50; i++) {
      round(100);
      List<WorkerCommand.Renew> renewals = sentCommands(WorkerCommand.Renew.class);
      assertThat(renewals.size()).isBetween(1, 30);
      commands.forEach(command -> assertThat(renewed.add(command.workerId())).isTrue());
    }
    assertThat(renewed).hasSize(500);
  }

  @Example
  void manyCancellationsStopEveryTaskOnce() {
    list(50, 100);
    IntStream.range(0, 30).forEach(i -> submit("job-" + i, 100, false));
    for (int i = 0; i < 300; i++) {
      round(100);
    }
    assertThat(zone.committedTaskCount()).isEqualTo(3_000);
    for (int i = 0; i < 30; i++) {
      requests.add(new RequestRecord.JobCancelled("c", "job-" + i, i == 29 ? "other" : "team"));
    }
    int stops = 0;
    for (int i = 0; i < 10; i++) {
      round(100);
      stops += sentCommands(WorkerCommand.Stop.class).size();
      assertThat(changes.size()).isLessThan(2_200);
    }
    assertThat(stops).isEqualTo(2_900);
    assertThat(zone.committedTaskCount()).isEqualTo(100);
    assertThat(zone.tasksOf("job-0")).allMatch(task -> task.lastEnd() == TaskEnd.CANCELLED);
  }

  @Example
  void overusedWorkerIsThrottledToTheReservation() {
    list(1, 2);
    usageMillicores = 1_500;
    submit("job", 2, true);
    int throttles = 0;
    for (int i = 0; i < 60; i++) {
      round(100);
      for (var throttle : sentCommands(WorkerCommand.Throttle.class)) {
        assertThat(throttle.processorsMillicores()).isEqualTo(1_000);
        throttles++;
      }
    }
    assertThat(throttles).isEqualTo(2);
  }
}
