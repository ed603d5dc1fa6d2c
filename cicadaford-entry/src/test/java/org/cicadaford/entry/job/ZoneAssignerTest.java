package org.cicadaford.entry.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cicadaford.decision.ConfigState;
import org.cicadaford.entry.RefusalKind;
import org.cicadaford.entry.RefusalProbe;
import org.cicadaford.entry.RefusedException;
import org.cicadaford.entry.support.FakeCell;
import org.cicadaford.entry.support.Samples;
import org.cicadaford.model.ConfigRecord.ConfigPublished;
import org.cicadaford.model.ConfigRecord.ZoneTakenOut;
import org.cicadaford.model.JobDescription;
import org.cicadaford.model.JobKind;
import org.cicadaford.model.Resources;
import org.cicadaford.model.TeamPolicy;
import org.cicadaford.platform.Member;
import org.cicadaford.platform.Member.Role;

/** Guards against tasks assigned to no zone or two zones, and accepted jobs that can never run. */
class ZoneAssignerTest {

  private final ConfigState config = new ConfigState();
  private final List<Member> workers = new ArrayList<>();

  ZoneAssignerTest() {
    config.apply(
        0,
        new ConfigPublished(
            "publish",
            -1,
            List.of(),
            List.of(new TeamPolicy("counters", 1, 40_000)),
            List.of(),
            List.of(),
            List.of(),
            List.of()));
  }

  @Property(seed = "11")
  void eachTaskIsAssignedToOneZoneAndZonesDifferByAtMostOneTask(
      @ForAll @IntRange(min = 1, max = 60) int taskCount,
      @ForAll @IntRange(min = 1, max = 5) int zoneCount,
      @ForAll int rotation)
      throws RefusedException {
    workers.clear();
    for (int zone = 0; zone < zoneCount; zone++) {
      addWorkers("zone-" + zone, 1);
    }

    Map<String, List<Integer>> zones = assign(JobKind.BATCH, 100, taskCount, rotation);

    assertThat(zones.values().stream().flatMap(List::stream)).hasSize(taskCount);
    assertThat(zones.values().stream().flatMap(List::stream)).doesNotHaveDuplicates();
    int most = zones.values().stream().mapToInt(List::size).max().orElseThrow();
    int least = taskCount < zoneCount ? 1 : taskCount / zoneCount;
    assertThat(zones.values()).allMatch(indexes -> indexes.size() >= least && most - least <= 1);
  }

  @Example
  void gangIsAssignedToTheZoneWithMostCapacity() throws RefusedException {
    addWorkers("a", 1);
    addWorkers("b", 3);

    assertThat(assign(JobKind.GANG, 1_000, 12, 0)).containsOnlyKeys("b");
  }

  @Example
  void zoneOutOfServiceGetsNoTask() throws RefusedException {
    addWorkers("a", 1);
    addWorkers("b", 1);
    config.apply(1, new ZoneTakenOut("out", "a", -1));

    assertThat(assign(JobKind.SERVICE, 100, 4, 0)).containsOnlyKeys("b");
  }

  @Example
  void jobWithAllZonesOutOfServiceIsRefusedAsRetryable() {
    addWorkers("a", 1);
    config.apply(1, new ZoneTakenOut("out", "a", -1));

    var refusal = RefusalProbe.ofThrown(() -> assign(JobKind.SERVICE, 100, 4, 0));
    assertThat(refusal.kind()).isEqualTo(RefusalKind.NO_ZONE);
    assertThat(refusal.retryAfterMillis()).isPositive();
  }

  @Example
  void jobThatCanNeverRunIsRefusedAsImpossible() {
    addWorkers("a", 2);

    Map<String, RefusalKind> refusals = new HashMap<>();
    refusals.put("task larger than a worker", kindOf(JobKind.BATCH, 8_001, 1));
    refusals.put("gang larger than a zone", kindOf(JobKind.GANG, 5_000, 3));
    refusals.put("gang larger than the team's limit", kindOf(JobKind.GANG, 1, 40_001));

    assertThat(refusals.values()).containsOnly(RefusalKind.IMPOSSIBLE_SIZE);
  }

  @Example
  void onlyAllowedZonesGetTasks() throws RefusedException {
    addWorkers("a", 1);
    addWorkers("b", 1);
    JobDescription any = Samples.job("job", JobKind.BATCH, "counter", 100, 4);
    JobDescription onlyB =
        new JobDescription(
            any.name(),
            any.team(),
            any.kind(),
            any.queue(),
            any.urgency(),
            any.resourcesPerTask(),
            any.taskCount(),
            List.of("b"),
            0,
            0,
            0,
            false,
            true,
            any.program());

    assertThat(ZoneAssigner.assign(onlyB, config, workers, 0)).containsOnlyKeys("b");
  }

  private RefusalKind kindOf(JobKind kind, long millicores, int taskCount) {
    return RefusalProbe.ofThrown(() -> assign(kind, millicores, taskCount, 0)).kind();
  }

  private Map<String, List<Integer>> assign(
      JobKind kind, long millicores, int taskCount, int rotation) throws RefusedException {
    JobDescription job = Samples.job("job", kind, "counter", millicores, taskCount);
    return ZoneAssigner.assign(job, config, workers, rotation);
  }

  private void addWorkers(String zone, int count) {
    for (int i = 0; i < count; i++) {
      Resources capacity = Samples.WORKER;
      workers.add(FakeCell.member(zone + "-" + i, Role.WORKER, zone, capacity));
    }
  }
}
