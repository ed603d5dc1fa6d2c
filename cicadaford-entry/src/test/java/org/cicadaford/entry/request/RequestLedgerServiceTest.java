package org.cicadaford.entry.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Clock;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import net.jqwik.api.Example;
import org.cicadaford.entry.RequestIdIssuer;
import org.cicadaford.entry.call.RequestAppendException;
import org.cicadaford.entry.call.RequestAppender.ReadBack;
import org.cicadaford.entry.metrics.EntryMetrics;
import org.cicadaford.entry.stream.LogWriter;
import org.cicadaford.entry.stream.StreamPosition;
import org.cicadaford.entry.support.FakeLog;
import org.cicadaford.model.RequestRecord.CallClaimed;

/** Guards against a claim that takes effect because earlier claims of its id were not read. */
class RequestLedgerServiceTest {

  private final RequestLedgerService service =
      new RequestLedgerService(
          new LogWriter("requests", new FakeLog(), 8, Clock.systemUTC(), new EntryMetrics()),
          60_000);

  private static CallClaimed newClaim() {
    return new CallClaimed(
        "r", RequestIdIssuer.generate(), "team", "entry-0", System.currentTimeMillis());
  }

  private void assertClaimIsRefused() {
    CompletableFuture<ReadBack> readBack = service.append(newClaim());
    Throwable failure = null;
    try {
      readBack.getNow(null);
    } catch (CompletionException e) {
      failure = e.getCause();
    }
    assertThat(failure)
        .isInstanceOfSatisfying(
            RequestAppendException.class, e -> assertThat(e.mayTakeEffect()).isFalse());
  }

  @Example
  void claimIsRefusedUntilTheStreamWasRead() {
    assertClaimIsRefused();
    service.onPage(new StreamPosition(0, true, 1));

    assertThat(service.append(newClaim())).isNotDone();
  }

  @Example
  void claimIsRefusedAfterUnreadClaimsHaveExpired() {
    service.onRecordsExpired(5);
    service.onRecord(5, newClaim(), System.currentTimeMillis());
    service.onPage(new StreamPosition(6, true, System.currentTimeMillis()));

    assertClaimIsRefused();
  }
}
