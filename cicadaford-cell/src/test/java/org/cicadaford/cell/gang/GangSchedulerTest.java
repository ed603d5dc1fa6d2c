package org.cicadaford.cell.gang;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.cicadaford.model.Resources;

/** Tests when gangs reserve capacity, how much, and when they lose it. */
class GangSchedulerTest {

  private static final Resources CORE = new Resources(1_000, 100, 0);
  private static final int WORKERS = 100;

  private final GangScheduler scheduler = new GangScheduler();

  private static WorkerCapacity worker(String id, int freeCores, long... endsMillis) {
    List<WorkerCapacity.Release> releases = new ArrayList<>();
    for (long endMillis : endsMillis) {
      releases.add(new WorkerCapacity.Release(endMillis, CORE));
    }
    return new WorkerCapacity(id, CORE.times(freeCores), releases);
  }

  private static WaitingGang gang(
      String id, int members, int maxPerWorker, List<WorkerCapacity> workers) {
    return new WaitingGang(id, 1, members, CORE, maxPerWorker, 3_000, 0, workers);
  }

  private GangScheduler.Outcome plan(long nowMillis, WaitingGang... gangs) {
    return scheduler.plan(List.of(gangs), WORKERS, nowMillis);
  }

  /** Guards against a gang that can never run and keeps other work off all its workers. */
  @Example
  void gangThatFitsAtNoTimeReservesNothing() {
    List<WorkerCapacity> workers = List.of(worker("a", 4, 100), worker("b", 4, 100));
    GangScheduler.Outcome outcome = plan(0, gang("g", 3, 1, workers));
    assertThat(outcome.reservations()).isEmpty();
    assertThat(outcome.plans()).isEmpty();
    assertThat(plan(0, gang("h", 12, 0, workers)).reservations()).isEmpty();
  }

  /** Guards against a start that is expected too early or too late; compares with all times. */
  @Property(tries = 300, seed = "3601")
  void expectedStartIsTheEarliestTimeAtWhichAllTasksFit(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    Random random = new Random(seed);
    List<WorkerCapacity> workers = new ArrayList<>();
    for (int index = 0; index < 5; index++) {
      long[] ends = random.longs(random.nextInt(4), 1, 50).toArray();
      workers.add(worker("w" + index, random.nextInt(3), ends));
    }
    int maxPerWorker = random.nextInt(4);
    WaitingGang gang = gang("g", 1 + random.nextInt(12), maxPerWorker, workers);
    long expected = -1;
    for (long atMillis = 0; atMillis <= 50 && expected < 0; atMillis++) {
      int slots = 0;
      for (WorkerCapacity worker : workers) {
        Resources free = worker.free().plus(CapacityTimeline.releasedBy(worker, atMillis));
        int fitting = (int) (free.processorsMillicores() / 1_000);
        slots += maxPerWorker > 0 ? Math.min(maxPerWorker, fitting) : fitting;
      }
      expected = slots >= gang.memberCount() ? atMillis : -1;
    }
    GangPlan plan = new GangScheduler().plan(List.of(gang), WORKERS, 0).plans().get("g");
    assertThat(plan == null ? -1 : plan.startMillis()).as("seed " + seed).isEqualTo(expected);
  }

  /** Guards against two gangs that count on the same capacity at the same time. */
  @Example
  void secondGangIsPlannedAfterTheFirst() {
    List<WorkerCapacity> workers = List.of(worker("a", 0, 500, 500));
    GangScheduler.Outcome outcome =
        plan(0, gang("first", 2, 0, workers), gang("second", 2, 0, workers));
    assertThat(outcome.plans().get("first").startMillis()).isEqualTo(500);
    assertThat(outcome.plans().get("second").startMillis()).isEqualTo(3_500);
  }

  /** Guards against work that is kept off although it ends in time, and work that ends too late. */
  @Example
  void onlyWorkThatEndsInTimeByTwiceItsEstimateRunsBefore() {
    GangScheduler.Outcome outcome = plan(0, gang("g", 1, 0, List.of(worker("a", 0, 1_100))));
    Reservation reservation = outcome.reservations().getFirst();
    assertThat(reservation.allowsUntilStart(500, 0)).isTrue();
    assertThat(reservation.allowsUntilStart(500, 1)).isFalse();
    assertThat(reservation.keepsOff("other", 2)).isTrue();
    assertThat(reservation.keepsOff("other", 1)).isFalse();
    assertThat(reservation.keepsOff("other", 0)).isFalse();
  }

  /**
   * Guards against reservations without end, also of gangs whose workers come and go, and against
   * gangs that displace each other in turn: each of them gets long enough to start.
   */
  @Property(tries = 20, seed = "3602")
  void reservationsEndAndGrowUntilTheGangStarts(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    Random random = new Random(seed);
    boolean comesAndGoes = random.nextBoolean();
    GangScheduler drawn = new GangScheduler();
    long longestMillis = 0;
    long heldMillis = 0;
    long freeMillis = 0;
    long longestSecondMillis = 0;
    long secondMillis = 0;
    for (long nowMillis = 0; nowMillis < 300_000; nowMillis += 100) {
      boolean gone = comesAndGoes && random.nextInt(10) == 0;
      // The run on the worker is always expected to end soon and never does.
      List<WorkerCapacity> workers =
          gone ? List.of() : List.of(worker("a", 0, nowMillis + random.nextInt(2_000)));
      GangScheduler.Outcome outcome =
          drawn.plan(
              List.of(gang("first", 1, 0, workers), gang("second", 1, 0, workers)),
              2 * WORKERS,
              nowMillis);
      List<String> held = outcome.reservations().stream().map(Reservation::gangId).toList();
      heldMillis = held.contains("first") || gone && heldMillis > 0 ? heldMillis + 100 : 0;
      secondMillis = held.contains("second") || gone && secondMillis > 0 ? secondMillis + 100 : 0;
      freeMillis += held.contains("first") || gone ? 0 : 100;
      longestMillis = Math.max(longestMillis, heldMillis);
      longestSecondMillis = Math.max(longestSecondMillis, secondMillis);
    }
    assertThat(longestMillis).as("seed " + seed).isBetween(30_000L, 60_000L);
    assertThat(longestSecondMillis).as("seed " + seed).isBetween(30_000L, 60_000L);
    assertThat(freeMillis).as("seed " + seed).isGreaterThan(5_000);
  }
}
