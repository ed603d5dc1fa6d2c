package org.cicadaford.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import org.cicadaford.cell.CoordinatorDriver.SentRenewal;

/**
 * Tests the leases that an earlier coordinator has granted to a worker. A worker has one lease for
 * all its runs, and no order shortens it.
 */
class EarlierLeaseTest {

  /** Time from the takeover by which all leases of earlier coordinators are over. */
  private static final long EARLIER_LEASES_MILLIS = 10_205;

  private static final long MAX_WAIT_MILLIS = 3_000;

  private final CoordinatorDriver driver =
      new CoordinatorDriver(
          List.of(
              new RecordWrite(
                  JobRecordFactory.PROGRESS_PREFIX + "ended",
                  EndedJobCodec.encode("q", "team", JobPhase.COMPLETED, 1_700_000_000_000L))));

  private final long takenOverAtMillis = driver.now().monotonicMillis();

  private void startOnASilentWorker() {
    driver.submit("silent");
    driver.answerStart(driver.nextStart(), StartOutcome.STARTED);
  }

  private void assertReleasedAfterEarlierLeases() {
    long elapsedMillis = driver.now().monotonicMillis() - takenOverAtMillis;
    driver.advance(EARLIER_LEASES_MILLIS - elapsedMillis);
    assertThat(driver.takeReleased(ReleaseReason.LEASE_EXPIRED)).isEmpty();
    driver.advance(MAX_WAIT_MILLIS);
    assertThat(driver.takeReleased(ReleaseReason.LEASE_EXPIRED)).hasSize(1);
  }

  /**
   * Guards against a second start beside a run that holds the lease of the coordinator before, on a
   * worker that had no runs at the takeover.
   */
  @Example
  void leaseOfTheCoordinatorBeforeHoldsForRunsOfThisOne() {
    startOnASilentWorker();
    assertReleasedAfterEarlierLeases();
  }

  /** Guards against the same on an incarnation that the coordinator before knew earlier. */
  @Example
  void leaseOfTheCoordinatorBeforeHoldsForAnIncarnationThatIsListedLate() {
    driver.list(200);
    SentRenewal renewal = driver.nextRenewal();
    driver.answer(renewal, 200, List.of());
    startOnASilentWorker();
    assertReleasedAfterEarlierLeases();
  }
}
