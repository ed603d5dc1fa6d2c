package org.cicadaford.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
import org.cicadaford.cell.Action;
import org.cicadaford.cell.ClockReading;
import org.cicadaford.cell.Submitter;

/** Tests the orders of a coordinator that may have been replaced. */
class CoordinatorServiceTest extends CoordinatorServiceHarness {

  /**
   * Guards against a worker list that ends each coordinator which reads it, and against one that is
   * not read again after a failure.
   */
  @Example
  void coordinatorGoesOnWhenTheListCannotBeReadOrApplied() {
    listing =
        () -> {
          throw new IllegalStateException("unexpected");
        };
    CoordinatorService service = service();
    advanceTime(400);
    assertThat(deposed).isFalse();
    listing = () -> CompletableFuture.completedFuture(Collections.singletonList(null));
    advanceTime(400);
    assertThat(deposed).isFalse();
    listing = CoordinatorServiceHarness::soundListing;
    service.requests().submit("job", QUEUE, new Submitter("t", "z"), SPEC);
    advanceTime(800);
    assertThat(starts).hasSize(1);
  }

  /** Guards against an internal fault of which the log does not tell what led to it. */
  @Example
  void internalFaultNamesTheInputAndTheRun() {
    try (LogLines log = new LogLines("org.cicadaford.decision")) {
      CoordinatorService service = service();
      service.requests().submit("job", QUEUE, new Submitter("t", "z"), SPEC);
      faultyJob = "job";
      advanceTime(2_000);
      assertThat(deposed).isTrue();
      assertThat(log.lines())
          .filteredOn(line -> line.startsWith("fault "))
          .singleElement()
          .asString()
          .startsWith(
              "fault id=epoch-7 outcome=stepped-down input=report from=w task=job.0.0.0 run=1 ");
    }
  }

  /**
   * Guards against a run that ends all coordinators: the second one that fails on it is the last,
   * and jobs of others go on.
   */
  @Example
  void runThatEndedTwoCoordinatorsEndsNoThird() {
    CoordinatorService first = service();
    first.requests().submit("job", QUEUE, new Submitter("t", "z"), SPEC);
    first.requests().submit("other", QUEUE, new Submitter("t", "z"), SPEC);
    advanceTime(200);
    assertThat(starts).hasSize(2);
    faultyJob = "job";
    advanceTime(2_000);
    assertThat(deposed).as("first").isTrue();
    assertThat(stored).containsKey("f/job");

    deposed = false;
    service();
    advanceTime(2_000);
    assertThat(deposed).as("second").isTrue();

    deposed = false;
    CoordinatorService third = service();
    third.requests().submit("next", QUEUE, new Submitter("t", "z"), SPEC);
    advanceTime(5_000);
    assertThat(deposed).as("third").isFalse();
    assertThat(third.requests().jobPhase("job", QUEUE.name(), "t", 0))
        .isCompletedWithValue(CellReply.done("FAILED"));
    assertThat(third.requests().jobPhase("other", QUEUE.name(), "t", 0))
        .isCompletedWithValue(CellReply.done("RUNNING"));
    assertThat(starts).extracting(Action.StartTask::task).doesNotHaveDuplicates();
  }

  /** Guards against a role that is kept for as long as the store does not take the fault. */
  @Example
  void faultThatCannotBeStoredEndsTheRole() {
    CoordinatorService service = service();
    service.requests().submit("job", QUEUE, new Submitter("t", "z"), SPEC);
    advanceTime(200);
    storing = false;
    faultyJob = "job";
    advanceTime(2_000);
    assertThat(deposed).isTrue();
    assertThat(service.isRoleConfirmed()).isFalse();
  }

  /** Guards against starts by a coordinator that was replaced while its process was paused. */
  @Example
  void pausedProcessStartsNothingBeforeItsRoleIsConfirmed() {
    CoordinatorService service = service();
    advanceTime(200);
    storing = false;
    service.requests().submit("job", QUEUE, new Submitter("t", "z"), SPEC);
    Append placed = placement();
    monotonicMillis += 4_000;
    unixMillis += 4_000;
    placed.outcome().complete(AppendOutcome.STORED);
    advanceTime(50);
    assertThat(starts).isEmpty();
    assertThat(appends).isNotEmpty();
    appends.removeLast().outcome().complete(AppendOutcome.FENCED);
    assertThat(deposed).isTrue();
    assertThat(starts).isEmpty();
  }

  /** Guards against starts after a suspension, which the monotonic clock does not count. */
  @Example
  void suspendedProcessStartsNothingBeforeItsRoleIsConfirmed() {
    CoordinatorService service = service();
    advanceTime(200);
    storing = false;
    service.requests().submit("job", QUEUE, new Submitter("t", "z"), SPEC);
    Append placed = placement();
    unixMillis += 4_000;
    placed.outcome().complete(AppendOutcome.STORED);
    advanceTime(50);
    assertThat(starts).isEmpty();
    storing = true;
    appends.removeLast().outcome().complete(AppendOutcome.STORED);
    advanceTime(50);
    assertThat(starts).hasSize(1);
  }

  /**
   * Guards against unbounded lease extensions by a coordinator that has lost the store. Its
   * successor could never be sure that the runs on a worker that it cannot reach have ended.
   */
  @Example
  void leasesAreExtendedForABoundedTimeWithoutTheStore() {
    service();
    advanceTime(500);
    storing = false;
    // The worker uses the clock of this process; leases may extend 10 s beyond the last append.
    long reachMillis = monotonicMillis + 10_000;
    advanceTime(5_000);
    assertThat(renewals)
        .isNotEmpty()
        .allMatch(renewal -> renewal.deadlineMillis() <= reachMillis)
        .anyMatch(renewal -> renewal.deadlineMillis() > monotonicMillis);
    advanceTime(5_500);
    renewals.clear();
    advanceTime(1_200);
    assertThat(renewals).isNotEmpty().allMatch(renewal -> renewal.deadlineMillis() == 0);
  }

  /** Guards against an instance that acts on a claim which another one has superseded meanwhile. */
  @Example
  void roleIsConfirmedFromTheClaimOnAndNotFromTheStart() {
    storing = false;
    ClockReading claimedAt = now();
    monotonicMillis += 5_000;
    unixMillis += 5_000;
    CoordinatorService service = service(claimedAt);
    assertThat(service.isRoleConfirmed()).isFalse();
    long reachMillis = monotonicMillis + 5_000;
    advanceTime(2_000);
    assertThat(renewals).isNotEmpty().allMatch(renewal -> renewal.deadlineMillis() <= reachMillis);
  }

  /** Guards against leases beyond those that a successor waits for, after a suspension. */
  @Example
  void leasesAreExtendedForABoundedTimeAfterASuspension() {
    service();
    advanceTime(500);
    storing = false;
    long reachMillis = workerClockMillis() + 10_000;
    renewals.clear();
    unixMillis += 5_000;
    workerClockOffsetMillis += 5_000;
    advanceTime(4_000);
    assertThat(renewals)
        .isNotEmpty()
        .allMatch(renewal -> renewal.deadlineMillis() <= reachMillis)
        .anyMatch(renewal -> renewal.deadlineMillis() > workerClockMillis());
  }

  /** Guards against starts by an old worker list, and against none while the store is only slow. */
  @Example
  void unreadableWorkerListHoldsStartsAndASlowOneDoesNot() {
    CoordinatorService service = service();
    listMillis = 250;
    advanceTime(3_000);
    service.requests().submit("slow", QUEUE, new Submitter("t", "z"), SPEC);
    advanceTime(100);
    assertThat(starts).hasSize(1);
    listFails = true;
    advanceTime(2_600);
    service.requests().submit("held", QUEUE, new Submitter("t", "z"), SPEC);
    renewals.clear();
    advanceTime(6_400);
    assertThat(starts).hasSize(1);
    assertThat(renewals).anyMatch(renewal -> renewal.deadlineMillis() > workerClockMillis());
    listFails = false;
    advanceTime(700);
    assertThat(starts).hasSize(2);
  }

  /** Guards against a job that the store refuses and that keeps all others from starting. */
  @Example
  void jobThatTheStoreRefusesIsAnsweredAndOthersStart() throws Exception {
    CoordinatorService service = service();
    advanceTime(200);
    refuses = write -> write.owner().equals("odd");
    Submitter submitter = new Submitter("t", "z");
    CompletableFuture<CellReply> odd = service.requests().submit("odd", QUEUE, submitter, SPEC);
    CompletableFuture<CellReply> sound = service.requests().submit("sound", QUEUE, submitter, SPEC);
    advanceTime(400);
    assertThat(sound.get().outcome()).isEqualTo(CellOutcome.DONE);
    assertThat(odd.get().outcome()).isEqualTo(CellOutcome.INVALID);
    assertThat(starts).extracting(Action.StartTask::task).containsExactly("sound.0.0.0");
    assertThat(deposed).isFalse();
    assertThat(service.isStoreHealthy(1_000)).isTrue();
  }
}
