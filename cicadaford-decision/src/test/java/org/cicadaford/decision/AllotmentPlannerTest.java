package org.cicadaford.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cicadaford.decision.OwnerDecision.AllotmentChange;
import org.cicadaford.model.ConfigRecord;
import org.cicadaford.model.Resources;
import org.cicadaford.model.TaskEnd;
import org.cicadaford.model.TeamPolicy;
import org.cicadaford.model.ZoneRecord.OwnerBatch;

/** Guards against a team that runs more than its limit across several zones (requirement R5). */
class AllotmentPlannerTest {

  private static final List<String> TEAMS = List.of("a", "b");
  private static final int ZONES = 3;

  /** Simulates the configuration stream and zones that read it with a delay. */
  private static final class ZoneGroup {
    private final List<ConfigRecord> log = new ArrayList<>();
    private final ConfigState recorded = new ConfigState();
    private final List<Owner> owners = new ArrayList<>();

    private ZoneGroup(long limitMillicores) {
      publish(limitMillicores);
      for (int i = 0; i < ZONES; i++) {
        owners.add(new Owner("z" + i, this));
      }
    }

    private void publish(long limitMillicores) {
      List<TeamPolicy> teams =
          TEAMS.stream().map(team -> new TeamPolicy(team, 1, limitMillicores)).toList();
      append(TestZone.publish(recorded.publishVersion(), teams));
    }

    private void append(ConfigRecord record) {
      log.add(record);
      recorded.apply(log.size() - 1, record);
    }

    private long heldSum(String team) {
      return owners.stream().mapToLong(o -> recorded.allotmentMillicores(team, o.name)).sum();
    }

    private long committedSum(String team) {
      return owners.stream().mapToLong(o -> o.zone.state.committedMillicores(team)).sum();
    }
  }

  /** Simulates one zone and its owner, whose records arrive late or never. */
  private static final class Owner {
    private final String name;
    private final ZoneGroup group;
    private final TestZone zone;
    private final List<ConfigRecord> unsentChanges = new ArrayList<>();
    private final List<OwnerBatch> unsentBatches = new ArrayList<>();
    private int readCount;
    private AllotmentPlanner planner;
    private ZoneScheduler scheduler;

    private Owner(String name, ZoneGroup group) {
      this.name = name;
      this.group = group;
      this.zone = new TestZone(name, new ConfigState());
      zone.addWorkers(4, 2, new Resources(64_000, 131_072, 0));
      start();
    }

    private void start() {
      planner = new AllotmentPlanner(name);
      scheduler = new ZoneScheduler(name, planner);
    }

    private void replace(long now) {
      zone.claim(now);
      start();
    }

    private void readConfig(int count) {
      for (int i = 0; i < count && readCount < group.log.size(); i++) {
        zone.config.apply(readCount, group.log.get(readCount));
        readCount++;
      }
    }

    private void decide(long now) {
      OwnerInputs inputs = zone.inputs(now);
      unsentBatches.add(zone.batch(scheduler.decide(inputs, TaskSizer.DECLARED, now), now));
      for (AllotmentChange change : planner.decide(inputs, now)) {
        unsentChanges.add(change.toRecord("a", name, zone.state.epoch()));
      }
    }

    private void send(Random random, int percent) {
      unsentChanges.removeIf(change -> arrives(random, percent, () -> group.append(change)));
      unsentBatches.removeIf(batch -> arrives(random, percent, () -> zone.apply(batch)));
    }

    private static boolean arrives(Random random, int percent, Runnable arrival) {
      int draw = random.nextInt(100);
      if (draw < percent) {
        arrival.run();
      }
      return draw < percent + 4;
    }

    private void endTasks(Random random, int percent, long now) {
      for (TaskStatus task : zone.committedTasks()) {
        if (random.nextInt(100) < percent) {
          zone.end(task, TaskEnd.COMPLETED, now);
        }
      }
      zone.endStopping(now);
    }
  }

  @Property(seed = "41", tries = 60)
  void committedNeverExceedsAllotment(@ForAll long seed) {
    Random random = new Random(seed);
    ZoneGroup group = new ZoneGroup(60_000);
    long[] heldBefore = new long[TEAMS.size()];
    for (int step = 0; step < 250; step++) {
      long now = 1_000L * step;
      if (random.nextInt(40) == 0) {
        group.publish(20_000 + random.nextInt(80_000));
      }
      for (Owner owner : group.owners) {
        if (random.nextInt(3) == 0) {
          Resources size = new Resources(1_000 * (1 + random.nextInt(4)), 64, 0);
          TestJob job = new TestJob(TEAMS.get(random.nextInt(2)), size, 1 + random.nextInt(12));
          owner.zone.admit("j" + step, job.repeatable(random.nextInt(3) > 0), now);
        }
        if (random.nextInt(60) == 0) {
          owner.replace(now);
        }
        owner.readConfig(random.nextInt(8));
        owner.decide(now);
        owner.send(random, 60);
        owner.endTasks(random, step / 50 % 2 == 0 ? 5 : 40, now);
      }
      assertWithinAllotments(group, heldBefore);
    }
  }

  private static void assertWithinAllotments(ZoneGroup group, long[] heldBefore) {
    for (int i = 0; i < TEAMS.size(); i++) {
      String team = TEAMS.get(i);
      for (Owner owner : group.owners) {
        assertThat(owner.zone.state.committedMillicores(team))
            .as("team %s in zone %s", team, owner.name)
            .isLessThanOrEqualTo(group.recorded.allotmentMillicores(team, owner.name));
      }
      long held = group.heldSum(team);
      if (group.recorded.freeMillicores(team) < 0) {
        assertThat(held).as("sum of team %s only falls", team).isLessThanOrEqualTo(heldBefore[i]);
      }
      heldBefore[i] = held;
    }
  }

  private static void run(ZoneGroup group, long fromMillis, long toMillis, int endPercent) {
    Random random = new Random(fromMillis);
    for (long now = fromMillis; now < toMillis; now += 1_000) {
      for (Owner owner : group.owners) {
        owner.readConfig(Integer.MAX_VALUE);
        owner.decide(now);
        owner.send(random, 100);
        owner.endTasks(random, endPercent, now);
      }
    }
  }

  private static TestJob demand(int taskCount) {
    return new TestJob("a", new Resources(1_000, 64, 0), taskCount);
  }

  /** Guards against an owner that starts tasks before the previous owner is fenced off. */
  @Example
  void nothingStartsBeforeTheFence() {
    ZoneGroup group = new ZoneGroup(60_000);
    Owner owner = group.owners.getFirst();
    run(group, 0, 5_000, 0);
    owner.zone.admit("j", demand(10), 0);
    run(group, 5_000, 10_000, 0);
    assertThat(owner.zone.state.committedMillicores("a")).isEqualTo(10_000);
    owner.replace(10_000);
    owner.zone.admit("k", demand(2), 10_000);

    assertThat(planFirst(owner).millicores()).isZero();
    assertThat(owner.scheduler.decide(owner.zone.inputs(10_000), TaskSizer.DECLARED, 10_000))
        .isEmpty();
    run(group, 11_000, 20_000, 0);
    assertThat(owner.zone.state.committedMillicores("a")).isEqualTo(12_000);
  }

  private static AllotmentChange planFirst(Owner owner) {
    return new AllotmentPlanner(owner.name).decide(owner.zone.inputs(10_000), 10_000).getFirst();
  }

  /** Guards against allotment that is kept by a zone without work. */
  @Example
  void idleAllotmentIsReturned() {
    ZoneGroup group = new ZoneGroup(60_000);
    group.owners.getFirst().zone.admit("j", demand(50), 0);
    run(group, 0, 5_000, 0);
    assertThat(group.committedSum("a")).isEqualTo(50_000);
    run(group, 5_000, 6_000, 100);
    run(group, 6_000, 6_000 + 3 * AllotmentPlanner.IDLE_MILLIS, 0);
    assertThat(group.heldSum("a")).isZero();
  }

  /** Guards against a zone that keeps the whole limit while work waits in another zone. */
  @Example
  void starvingZoneGetsItsShare() {
    ZoneGroup group = new ZoneGroup(60_000);
    group.owners.getFirst().zone.admit("j", demand(9_000), 0);
    run(group, 0, 20_000, 10);
    assertThat(group.owners.getFirst().zone.state.committedMillicores("a"))
        .isGreaterThanOrEqualTo(50_000);
    group.owners.getLast().zone.admit("j", demand(9_000), 20_000);
    run(group, 20_000, 80_000, 10);
    assertThat(group.recorded.allotmentMillicores("a", "z2")).isGreaterThanOrEqualTo(15_000);
  }

  /** Guards against running work that stays above a reduced limit. */
  @Example
  void reducedLimitIsEnforced() {
    ZoneGroup group = new ZoneGroup(90_000);
    group.owners.forEach(owner -> owner.zone.admit("j", demand(28), 0));
    run(group, 0, 20_000, 0);
    assertThat(group.committedSum("a")).isGreaterThan(75_000);
    group.publish(30_000);
    run(group, 20_000, 150_000, 0);
    assertThat(group.heldSum("a")).isLessThanOrEqualTo(30_000);
    assertThat(group.committedSum("a")).isBetween(20_000L, 30_000L);
  }
}
