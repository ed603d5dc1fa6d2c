package org.cicadaford.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.cicadaford.model.ConfigRecord;
import org.cicadaford.model.ConfigRecord.AllotmentTaken;
import org.cicadaford.model.ConfigRecord.ConfigPublished;
import org.cicadaford.model.Resources;
import org.cicadaford.model.TaskEnd;
import org.cicadaford.model.TeamPolicy;
import org.cicadaford.model.ZoneChange;
import org.cicadaford.model.ZoneRecord.OwnerBatch;
import org.cicadaford.model.ZoneRecord.OwnerClaimed;

/** Simulates a zone whose owner's decisions are recorded immediately. */
final class TestZone {

  static final String ZONE = "z";
  static final long PLENTY_MILLICORES = 1_000_000_000;

  final ZoneState state = new ZoneState();
  final ConfigState config;
  List<ListedWorker> listed = new ArrayList<>();
  private final String name;
  private long offset = -1;

  TestZone(String name, ConfigState config) {
    this.name = name;
    this.config = config;
    state.apply(++offset, new OwnerClaimed("claim", "owner", 0));
  }

  /**
   * Returns a zone with teams named a, b, c and so on that have these weights and practically
   * unlimited limits.
   */
  static TestZone withTeams(int... weights) {
    ConfigState config = new ConfigState();
    List<TeamPolicy> teams =
        IntStream.range(0, weights.length)
            .mapToObj(i -> new TeamPolicy(team(i), weights[i], PLENTY_MILLICORES))
            .toList();
    config.apply(0, publish(-1, teams));
    for (int i = 0; i < weights.length; i++) {
      config.apply(i + 1, new AllotmentTaken("t", ZONE, 0, i + 1, team(i), PLENTY_MILLICORES));
    }
    return new TestZone(ZONE, config);
  }

  static String team(int index) {
    return String.valueOf((char) ('a' + index));
  }

  static ConfigRecord publish(long base, List<TeamPolicy> teams) {
    return new ConfigPublished(
        "p", base, List.of(), teams, List.of(), List.of(), List.of(), List.of());
  }

  ZoneScheduler scheduler() {
    return scheduler(SchedulerSettings.DEFAULT);
  }

  ZoneScheduler scheduler(SchedulerSettings settings) {
    return new ZoneScheduler(name, settings, TeamLimits.recorded(name));
  }

  /** Adds workers in racks of {@code perRack}; the list of workers is replaced only here. */
  void addWorkers(int count, int perRack, Resources capacity) {
    List<ListedWorker> grown = new ArrayList<>(listed);
    List<ZoneChange> changes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int number = grown.size();
      String id = String.format("w%04d", number);
      String rack = "r" + number / perRack;
      grown.add(new ListedWorker(id, rack, capacity, false));
      changes.add(new ZoneChange.WorkerListed(id, rack, capacity));
    }
    listed = grown;
    record(changes, 0);
  }

  /** Records changes and returns those that were not valid. */
  List<ZoneChange> record(List<ZoneChange> changes, long nowMillis) {
    return ((ZoneApplyResult.Applied) apply(batch(changes, nowMillis))).rejectedChanges();
  }

  /** Returns the owner's next batch. */
  OwnerBatch batch(List<ZoneChange> changes, long nowMillis) {
    return new OwnerBatch("b", state.epoch(), state.sequence() + 1, nowMillis, 0, 0, changes);
  }

  ZoneApplyResult apply(OwnerBatch batch) {
    return state.apply(++offset, batch);
  }

  void admit(String jobId, TestJob job, long nowMillis) {
    var description = job.build();
    List<Integer> indexes = IntStream.range(0, description.taskCount()).boxed().toList();
    record(List.of(new ZoneChange.JobAdmitted(jobId, description, indexes, nowMillis)), nowMillis);
  }

  /** Claims the zone for a new owner. */
  void claim(long nowMillis) {
    state.apply(++offset, new OwnerClaimed("claim-" + offset, "other", nowMillis));
  }

  OwnerInputs inputs(long nowMillis) {
    return new OwnerInputs(state, config, nowMillis, nowMillis, listed, List.of(), 0);
  }

  /** Runs one scheduling decision and records its changes. */
  List<ZoneChange> step(ZoneScheduler scheduler, long nowMillis) {
    List<ZoneChange> changes = scheduler.decide(inputs(nowMillis), TaskSizer.DECLARED, nowMillis);
    record(changes, nowMillis);
    return changes;
  }

  List<TaskStatus> committedTasks() {
    return state.workers().stream()
        .flatMap(worker -> state.committedTasksOn(worker.workerId()).stream())
        .toList();
  }

  void end(TaskStatus task, TaskEnd end, long nowMillis) {
    record(
        List.of(new ZoneChange.TaskEnded(task.taskId(), task.attempt(), end, "", nowMillis)),
        nowMillis);
  }

  /** Ends the tasks that are being stopped. */
  void endStopping(long nowMillis) {
    for (TaskStatus task : committedTasks()) {
      if (task.phase() == TaskStatus.Phase.STOPPING) {
        end(task, task.lastEnd(), nowMillis);
      }
    }
  }
}
