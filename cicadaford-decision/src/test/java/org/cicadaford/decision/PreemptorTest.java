package org.cicadaford.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cicadaford.decision.TaskStatus.Phase;
import org.cicadaford.model.JobKind;
import org.cicadaford.model.Resources;
import org.cicadaford.model.TaskEnd;
import org.cicadaford.model.TaskId;
import org.cicadaford.model.Urgency;
import org.cicadaford.model.ZoneChange;
import org.cicadaford.model.ZoneChange.TaskStopping;

/** Guards against preemption of work that must not be stopped, and against excessive preemption. */
class PreemptorTest {

  private static final Resources WORKER = new Resources(64_000, 131_072, 0);
  private static final Resources SMALL = new Resources(4_000, 8_192, 0);

  /**
   * Guards against a second run of non-repeatable work (requirement R9), and against teams that
   * keep preempting each other.
   */
  @Property(seed = "31", tries = 40)
  void onlyRepeatableWorkIsStoppedAndRarely(@ForAll long seed) {
    Random random = new Random(seed);
    TestZone zone = TestZone.withTeams(1, 2, 3);
    zone.addWorkers(4, 2, WORKER);
    ZoneScheduler scheduler = zone.scheduler();
    Map<TaskId, Integer> stops = new HashMap<>();
    for (int step = 0; step < 150; step++) {
      long now = 2_000L * step;
      Urgency urgency = Urgency.values()[random.nextInt(3)];
      zone.admit(
          "j" + step,
          new TestJob(TestZone.team(random.nextInt(3)), SMALL, 1 + random.nextInt(12))
              .urgency(urgency)
              .repeatable(random.nextBoolean()),
          now);
      for (ZoneChange change : zone.step(scheduler, now)) {
        if (change instanceof TaskStopping stopping) {
          JobStatus job = zone.state.job(stopping.taskId().jobId()).orElseThrow();
          assertThat(job.description().repeatable()).isTrue();
          stops.merge(stopping.taskId(), 1, Integer::sum);
        }
      }
      zone.endStopping(now);
      for (TaskStatus task : zone.committedTasks()) {
        if (random.nextInt(20) == 0) {
          zone.end(task, TaskEnd.COMPLETED, now);
        }
      }
    }
    assertThat(stops.values()).allMatch(count -> count == 1);
  }

  /** Guards against urgent work that waits for work of a team above its share. */
  @Example
  void urgentWorkStopsTheFewestTasks() {
    TestZone zone = TestZone.withTeams(1, 1);
    zone.addWorkers(2, 1, WORKER);
    zone.admit("large", new TestJob("a", new Resources(16_000, 1_024, 0), 4), 0);
    zone.admit("small", new TestJob("a", SMALL, 16), 0);
    ZoneScheduler scheduler = zone.scheduler();
    zone.step(scheduler, 0);
    long now = Preemptor.MIN_FIRST_RUN_MILLIS;
    zone.admit(
        "urgent",
        new TestJob("b", new Resources(12_000, 1_024, 0), 1).urgency(Urgency.URGENT),
        now);

    List<ZoneChange> stops = zone.step(scheduler, now);
    assertThat(stops).hasSize(1);
    assertThat(((TaskStopping) stops.getFirst()).taskId().jobId()).isEqualTo("large");

    zone.endStopping(now + 500);
    zone.step(scheduler, now + 500);
    assertThat(zone.state.tasksOf("urgent")).allMatch(TaskStatus::isCommitted);
  }

  /** Guards against a team that cannot reclaim the part of its share that another team uses. */
  @Example
  void shareIsReclaimedAtALimitedRate() {
    TestZone zone = TestZone.withTeams(1, 1);
    zone.addWorkers(20, 8, WORKER);
    zone.admit("lent", new TestJob("a", SMALL, 320), 0);
    ZoneScheduler scheduler = zone.scheduler();
    zone.step(scheduler, 0);
    for (int i = 0; i < 20; i++) {
      zone.admit("own" + i, new TestJob("b", SMALL, 16), 10_000);
    }
    int stops = 0;
    int perSecond = SchedulerSettings.DEFAULT.maxStopsPerSecond();
    for (long now = 12_000; now <= 40_000; now += 50) {
      for (ZoneChange change : zone.step(scheduler, now)) {
        stops += change instanceof TaskStopping ? 1 : 0;
      }
      assertThat(stops).isLessThanOrEqualTo((int) (perSecond * (1 + (now - 12_000) / 1_000.0)));
      zone.endStopping(now);
    }
    assertThat(zone.state.committedMillicores("b")).isEqualTo(640_000);
    assertThat(zone.state.committedMillicores("a")).isEqualTo(640_000);
  }

  /** Guards against preemption of a team below its share. */
  @Example
  void teamsBelowTheirShareLoseNothing() {
    TestZone zone = TestZone.withTeams(1, 1, 1);
    zone.addWorkers(6, 3, WORKER);
    zone.admit("low", new TestJob("c", SMALL, 16), 0);
    zone.admit("high", new TestJob("a", SMALL, 80), 1);
    ZoneScheduler scheduler = zone.scheduler();
    zone.step(scheduler, 1_000);
    zone.admit("own", new TestJob("b", SMALL, 80), 10_000);
    zone.admit("urgent", new TestJob("b", SMALL, 4).urgency(Urgency.URGENT), 10_000);
    for (long now = 20_000; now <= 60_000; now += 1_000) {
      zone.step(scheduler, now);
      zone.endStopping(now);
    }
    assertThat(zone.state.committedMillicores("c")).isEqualTo(64_000);
    assertThat(zone.state.committedMillicores("b")).isGreaterThanOrEqualTo(128_000);
  }

  /** Guards against gang jobs that deadlock or starve behind small tasks. */
  @Property(seed = "32", tries = 15)
  void gangsDoNotBlockEachOther(@ForAll long seed) {
    Random random = new Random(seed);
    TestZone zone = TestZone.withTeams(1, 1, 1);
    zone.addWorkers(4, 2, WORKER);
    ZoneScheduler scheduler = zone.scheduler();
    for (int i = 0; i < 3; i++) {
      Resources size = new Resources(16_000, 8_192, 0);
      zone.admit(
          "g" + i,
          new TestJob(TestZone.team(i), size, 9 + random.nextInt(3)).kind(JobKind.GANG),
          0);
    }
    Map<TaskId, Long> endsAtMillis = new HashMap<>();
    int finishedGangs = 0;
    for (long now = 0; now < 1_500_000 && finishedGangs < 3; now += 1_000) {
      if (now % 4_000 == 0) {
        zone.admit("s" + now, new TestJob(TestZone.team(random.nextInt(3)), SMALL, 8), now);
      }
      zone.endStopping(now);
      for (TaskStatus task : zone.committedTasks()) {
        long runMillis = 20_000 + random.nextInt(40_000);
        if (now
                >= endsAtMillis.computeIfAbsent(
                    task.taskId(), id -> task.placedAtMillis() + runMillis)
            && task.phase() == Phase.PLACED) {
          zone.end(task, TaskEnd.COMPLETED, now);
        }
      }
      zone.step(scheduler, now);
      finishedGangs = 0;
      for (int i = 0; i < 3; i++) {
        boolean ended =
            zone.state.tasksOf("g" + i).stream().allMatch(t -> t.phase() == Phase.ENDED);
        finishedGangs += ended ? 1 : 0;
      }
    }
    assertThat(finishedGangs).isEqualTo(3);
  }
}
