package org.cicadaford.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cicadaford.decision.TaskStatus.Phase;
import org.cicadaford.model.ConfigRecord.ZoneTakenOut;
import org.cicadaford.model.JobKind;
import org.cicadaford.model.JobState;
import org.cicadaford.model.Resources;
import org.cicadaford.model.TaskEnd;
import org.cicadaford.model.Urgency;
import org.cicadaford.model.ZoneChange;
import org.cicadaford.model.ZoneChange.TaskPlaced;

/** Guards the order of placements and the constraints on each placement. */
class ZoneSchedulerTest {

  private static final Resources WORKER = new Resources(64_000, 131_072, 0);
  private static final Resources SMALL = new Resources(4_000, 8_192, 0);
  private static final Resources HALF = new Resources(32_000, 65_536, 0);

  /**
   * Guards against placements that the zone state rejects (requirement R1), and against gang jobs
   * of which only some tasks run.
   */
  @Property(seed = "21", tries = 60)
  void randomHistoriesKeepCapacityAndGangs(@ForAll long seed) {
    Random random = new Random(seed);
    TestZone zone = TestZone.withTeams(1, 3, 2);
    zone.addWorkers(6, 3, WORKER);
    zone.addWorkers(3, 3, new Resources(64_000, 131_072, 4));
    ZoneScheduler scheduler = zone.scheduler();
    for (int step = 0; step < 80; step++) {
      long now = 1_000L * step;
      if (random.nextInt(2) == 0) {
        zone.admit("j" + step, randomJob(random), now);
      }
      for (TaskStatus task : zone.committedTasks()) {
        if (task.phase() == Phase.STOPPING) {
          zone.end(task, task.lastEnd(), now);
        } else if (random.nextInt(10) == 0) {
          zone.end(task, random.nextInt(4) == 0 ? TaskEnd.LOST : TaskEnd.COMPLETED, now);
        }
      }
      List<ZoneChange> changes = scheduler.decide(zone.inputs(now), TaskSizer.DECLARED, now);

      assertThat(zone.record(changes, now)).isEmpty();
      assertGangsAreWhole(zone, changes);
    }
  }

  private static TestJob randomJob(Random random) {
    Resources size =
        new Resources(
            500 * (1 + random.nextInt(60)),
            512 * (1 + random.nextInt(120)),
            random.nextInt(6) == 0 ? 1 + random.nextInt(2) : 0);
    return new TestJob(TestZone.team(random.nextInt(3)), size, 1 + random.nextInt(8))
        .kind(JobKind.values()[random.nextInt(3)])
        .urgency(Urgency.values()[random.nextInt(3)])
        .maxTasksPerRack(random.nextInt(4) == 0 ? 4 : 0)
        .deadline(random.nextInt(3) == 0 ? 90_000 : 0, 10_000)
        .repeatable(random.nextInt(4) > 0);
  }

  private static void assertGangsAreWhole(TestZone zone, List<ZoneChange> changes) {
    for (JobStatus job : zone.state.waitingJobs()) {
      boolean placed =
          changes.stream()
              .anyMatch(c -> c instanceof TaskPlaced p && p.taskId().jobId().equals(job.jobId()));
      if (job.description().kind() == JobKind.GANG && job.description().repeatable()) {
        assertThat(placed).as("gang job %s is placed whole", job.jobId()).isFalse();
        assertThat(zone.state.tasksOf(job.jobId()))
            .as("the rest of gang job %s is stopped", job.jobId())
            .noneMatch(task -> task.phase() == Phase.PLACED);
      }
    }
  }

  /** Guards against normal work that takes capacity which waiting urgent work could have used. */
  @Property(seed = "22", tries = 60)
  void urgentWorkGoesFirst(@ForAll long seed) {
    Random random = new Random(seed);
    TestZone zone = TestZone.withTeams(1, 1, 1);
    zone.addWorkers(4, 2, WORKER);
    ZoneScheduler scheduler =
        zone.scheduler(SchedulerSettings.DEFAULT.withMechanisms(true, true, false, 0));
    for (int step = 0; step < 60; step++) {
      long now = 1_000L * step;
      for (int i = 0; i < 6; i++) {
        Urgency urgency = Urgency.values()[random.nextInt(3)];
        TestJob job = new TestJob(TestZone.team(random.nextInt(3)), SMALL, 1 + random.nextInt(6));
        zone.admit("j" + step + "-" + i, job.urgency(urgency), now);
      }
      endSome(zone, random, now);
      List<ZoneChange> changes = zone.step(scheduler, now);
      int mostDelayed = 0;
      for (ZoneChange change : changes) {
        String jobId = ((TaskPlaced) change).taskId().jobId();
        int rank = zone.state.job(jobId).orElseThrow().description().urgency().ordinal();
        mostDelayed = Math.max(mostDelayed, rank);
      }
      for (JobStatus job : zone.state.waitingJobs()) {
        assertThat(job.description().urgency().ordinal()).isGreaterThanOrEqualTo(mostDelayed);
      }
    }
  }

  private static void endSome(TestZone zone, Random random, long now) {
    for (TaskStatus task : zone.committedTasks()) {
      if (random.nextInt(5) == 0) {
        zone.end(task, TaskEnd.COMPLETED, now);
      }
    }
  }

  /** Guards against work that misses its deadline although it could have been placed in time. */
  @Example
  void workNearItsDeadlineGoesFirst() {
    TestZone zone = TestZone.withTeams(1);
    zone.addWorkers(1, 1, SMALL);
    zone.admit("early", new TestJob("a", SMALL, 1), 0);
    zone.admit("due", new TestJob("a", SMALL, 1).deadline(100_000, 10_000), 5);
    ZoneScheduler scheduler = zone.scheduler();
    long beforeDue = 19_000;
    long due = 21_000;

    assertThat(placedJobs(scheduler.decide(zone.inputs(beforeDue), TaskSizer.DECLARED, beforeDue)))
        .containsExactly("early");
    assertThat(placedJobs(scheduler.decide(zone.inputs(due), TaskSizer.DECLARED, due)))
        .containsExactly("due");
  }

  /** Guards against a team that gets more than its share by setting deadlines. */
  @Example
  void deadlinesDoNotTakeTheShareOfOthers() {
    TestZone zone = TestZone.withTeams(1, 1);
    zone.addWorkers(1, 1, WORKER);
    zone.admit("due", new TestJob("a", SMALL, 16).deadline(100_000, 10_000), 0);
    zone.admit("other", new TestJob("b", SMALL, 16), 1);
    zone.step(zone.scheduler(), 30_000);

    assertThat(zone.state.committedMillicores("b")).isEqualTo(32_000);
  }

  private static List<String> placedJobs(List<ZoneChange> changes) {
    return changes.stream()
        .filter(TaskPlaced.class::isInstance)
        .map(change -> ((TaskPlaced) change).taskId().jobId())
        .toList();
  }

  /** Guards against shares that deviate from the teams' weights when the zone is full. */
  @Property(seed = "23", tries = 20)
  void sharesFollowWeightsUnderFullLoad(@ForAll long seed) {
    Random random = new Random(seed);
    int[] weights = {1 + random.nextInt(4), 1 + random.nextInt(4), 1 + random.nextInt(4)};
    TestZone zone = TestZone.withTeams(weights);
    zone.addWorkers(12, 6, WORKER);
    ZoneScheduler scheduler = zone.scheduler();
    int[] backlogOrder = {0, 1, 2, 0, 1, 2};
    for (int i = 0; i < backlogOrder.length; i++) {
      Resources size = new Resources(1_000L * (1 + random.nextInt(3)), 2_048, 0);
      zone.admit("j" + i, new TestJob(TestZone.team(backlogOrder[i]), size, 3_000), i);
    }
    Map<String, Double> sums = new HashMap<>();
    for (int step = 0; step < 60; step++) {
      endSome(zone, random, 1_000L * step);
      zone.endStopping(1_000L * step);
      zone.step(scheduler, 1_000L * step);
      if (step >= 20) {
        for (int i = 0; i < weights.length; i++) {
          long millicores = zone.state.committedMillicores(TestZone.team(i));
          sums.merge(TestZone.team(i), millicores / (double) weights[i], Double::sum);
        }
      }
    }
    double mean = sums.values().stream().mapToDouble(Double::doubleValue).average().orElseThrow();

    assertThat(sums.values()).allSatisfy(s -> assertThat(s / mean).isBetween(0.93, 1.07));
  }

  /** Guards against impossible jobs that wait forever, and against closing jobs that can run. */
  @Example
  void impossibleJobsAreClosedOnceTheListIsStable() {
    TestZone zone = TestZone.withTeams(1);
    zone.addWorkers(4, 2, WORKER);
    zone.admit("large", new TestJob("a", new Resources(65_000, 1, 0), 1), 0);
    zone.admit("gang", new TestJob("a", HALF, 9).kind(JobKind.GANG), 0);
    zone.admit("spread", new TestJob("a", SMALL, 5).maxTasksPerRack(2), 0);
    zone.admit("fits", new TestJob("a", HALF, 8).kind(JobKind.GANG), 0);
    ZoneScheduler scheduler = zone.scheduler();
    List<String> impossible = List.of("large", "gang", "spread");
    zone.state.waitingJobs();
    long start = 1_000;
    zone.step(scheduler, start);
    zone.step(scheduler, start + InfeasibleJobDetector.STABLE_LIST_MILLIS - 1);
    for (String jobId : List.of("large", "gang")) {
      assertThat(zone.state.job(jobId).orElseThrow().state()).isEqualTo(JobState.ACTIVE);
    }
    for (TaskStatus task : zone.state.tasksOf("spread")) {
      if (task.isCommitted()) {
        zone.end(task, TaskEnd.LOST, start);
      }
    }
    zone.step(scheduler, start + InfeasibleJobDetector.STABLE_LIST_MILLIS);
    for (String jobId : impossible) {
      JobStatus job = zone.state.job(jobId).orElseThrow();
      assertThat(job.state()).as(jobId).isEqualTo(JobState.IMPOSSIBLE);
      assertThat(job.reason()).contains("declare");
    }
    assertThat(zone.state.job("fits").orElseThrow().state()).isEqualTo(JobState.ACTIVE);
  }

  /** Guards against closing all jobs while a network partition marks every worker as leaving. */
  @Example
  void unreachableWorkersDoNotMakeJobsImpossible() {
    TestZone zone = TestZone.withTeams(1);
    zone.addWorkers(2, 1, WORKER);
    zone.listed = zone.listed.stream().map(ZoneSchedulerTest::leaving).toList();
    zone.admit("j", new TestJob("a", HALF, 1), 0);
    ZoneScheduler scheduler = zone.scheduler();
    zone.step(scheduler, 0);
    zone.step(scheduler, 2 * InfeasibleJobDetector.STABLE_LIST_MILLIS);

    assertThat(zone.state.job("j").orElseThrow().state()).isEqualTo(JobState.ACTIVE);
  }

  /**
   * Guards against placements on leaving or quarantined workers, or in a zone that is taken out.
   */
  @Example
  void unavailableWorkersGetNothingButOneProbe() {
    TestZone zone = TestZone.withTeams(1);
    zone.addWorkers(2, 1, WORKER);
    zone.admit("j", new TestJob("a", SMALL, 40), 0);
    zone.listed = List.of(zone.listed.get(0), leaving(zone.listed.get(1)));
    zone.record(List.of(new ZoneChange.WorkerQuarantined("w0000", 3, 10_000)), 0);
    ZoneScheduler scheduler = zone.scheduler();

    assertThat(zone.step(scheduler, 9_999)).isEmpty();
    assertThat(zone.step(scheduler, 10_000)).hasSize(1);
    assertThat(zone.step(scheduler, 20_000)).isEmpty();

    zone.record(List.of(new ZoneChange.WorkerReleased("w0000")), 20_000);
    zone.config.apply(99, new ZoneTakenOut("o", TestZone.ZONE, -1));
    assertThat(zone.step(scheduler, 21_000)).isEmpty();
  }

  private static ListedWorker leaving(ListedWorker worker) {
    return new ListedWorker(worker.workerId(), worker.rack(), worker.capacity(), true);
  }

  /** Guards against normal work on the workers that are kept free for urgent work. */
  @Example
  void headroomIsForUrgentWork() {
    TestZone zone = TestZone.withTeams(1);
    zone.addWorkers(4, 2, WORKER);
    zone.admit("j", new TestJob("a", SMALL, 64), 0);
    ZoneScheduler scheduler =
        zone.scheduler(SchedulerSettings.DEFAULT.withMechanisms(true, true, false, 0.25));
    assertThat(zone.step(scheduler, 0)).hasSize(48);

    zone.admit("u", new TestJob("a", SMALL, 16).urgency(Urgency.URGENT), 0);
    assertThat(zone.step(scheduler, 1)).hasSize(16);
  }

  /** Guards against accelerators that stay idle because other work uses all processors. */
  @Example
  void oneFreeAcceleratorKeepsItsShare() {
    TestZone zone = TestZone.withTeams(1);
    zone.addWorkers(1, 1, new Resources(64_000, 131_072, 4));
    zone.admit("j", new TestJob("a", SMALL, 16), 0);
    ZoneScheduler scheduler = zone.scheduler();
    assertThat(zone.step(scheduler, 0)).hasSize(12);

    zone.admit("acc", new TestJob("a", new Resources(16_000, 32_768, 1), 1), 1);
    assertThat(placedJobs(zone.step(scheduler, 1))).containsExactly("acc");
  }

  /** Guards against a rack failure that stops more tasks of a job than its description allows. */
  @Property(seed = "24", tries = 50)
  void rackLimitIsRespected(@ForAll long seed) {
    Random random = new Random(seed);
    TestZone zone = TestZone.withTeams(1);
    zone.addWorkers(12, 3, WORKER);
    int bound = 1 + random.nextInt(3);
    zone.admit("j", new TestJob("a", SMALL, 30).maxTasksPerRack(bound), 0);
    ZoneScheduler scheduler = zone.scheduler();
    for (int step = 0; step < 20; step++) {
      endSome(zone, random, 1_000L * step);
      zone.step(scheduler, 1_000L * step);
      Map<String, Integer> byRack = new HashMap<>();
      for (TaskStatus task : zone.committedTasks()) {
        byRack.merge(zone.state.worker(task.workerId()).orElseThrow().rack(), 1, Integer::sum);
      }
      assertThat(byRack.values()).allMatch(count -> count <= bound);
    }
  }

  /** Guards against an unbounded decision when the backlog is long. */
  @Example
  void decisionIsBoundedAndLaterOnesContinue() {
    TestZone zone = TestZone.withTeams(1);
    zone.addWorkers(100, 8, WORKER);
    zone.admit("blocked", new TestJob("a", new Resources(64_000, 200_000, 0), 10_000), 0);
    zone.admit("j", new TestJob("a", new Resources(1_000, 1_024, 0), 1_200), 0);
    ZoneScheduler scheduler = zone.scheduler();
    List<Integer> counts = new ArrayList<>();
    for (int step = 0; step < 3; step++) {
      counts.add(placedJobs(zone.step(scheduler, step)).size());
    }
    assertThat(counts).containsExactly(500, 500, 200);
  }
}
