package org.cicadaford.entry.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.cicadaford.entry.metrics.EntryMetrics;
import org.cicadaford.entry.stream.AppendResult.Appended;
import org.cicadaford.entry.stream.AppendResult.NotAppended;
import org.cicadaford.entry.stream.AppendResult.NotAppended.Cause;
import org.cicadaford.entry.stream.AppendResult.Unknown;
import org.cicadaford.entry.support.Await;
import org.cicadaford.entry.support.FakeLog;
import org.cicadaford.model.ZoneRecord;
import org.cicadaford.model.ZoneRecord.OwnerClaimed;

/** Guards against append results that contradict the log. */
class LogWriterTest {

  private static final int QUEUE_CAPACITY = 4;

  private final FakeLog log = new FakeLog();
  private final LogWriter writer =
      new LogWriter("test", log, QUEUE_CAPACITY, InstantSource.system(), new EntryMetrics());

  @AfterTry
  void stop() throws InterruptedException {
    log.setHeld(false);
    writer.stop();
  }

  @Example
  void resultMatchesOutcomeOfTheAppend() {
    writer.start();

    assertThat(append("first").join()).isEqualTo(new Appended(0));
    log.loseAnswers(1);
    assertThat(append("lost").join()).isInstanceOf(Unknown.class);
    log.setDown(true);
    assertThat(append("down").join())
        .isInstanceOfSatisfying(
            NotAppended.class, r -> assertThat(r.cause()).isEqualTo(Cause.LOG_UNAVAILABLE));

    assertThat(recordIds()).containsExactly("first", "lost");
  }

  @Example
  void fullQueueRefusesImmediately() throws InterruptedException {
    log.setHeld(true);
    writer.start();
    List<CompletableFuture<AppendResult>> results = new ArrayList<>();
    results.add(append("sent"));
    Await.until(() -> log.appendCalls() == 1);
    for (int i = 0; i < QUEUE_CAPACITY + 3; i++) {
      results.add(append("waiting-" + i));
    }

    long refused = results.stream().filter(CompletableFuture::isDone).count();

    assertThat(refused).isEqualTo(3);
    assertThat(results.getLast().join())
        .isInstanceOfSatisfying(
            NotAppended.class, r -> assertThat(r.cause()).isEqualTo(Cause.OVERLOADED));
  }

  @Example
  void stopAppendsQueuedRecordsAndRefusesLaterOnes() throws InterruptedException {
    writer.start();
    CompletableFuture<AppendResult> before = append("before");
    writer.stop();

    assertThat(before.join()).isInstanceOf(Appended.class);
    assertThat(append("after").join())
        .isInstanceOfSatisfying(
            NotAppended.class, r -> assertThat(r.cause()).isEqualTo(Cause.STOPPING));
    assertThat(recordIds()).containsExactly("before");
  }

  private CompletableFuture<AppendResult> append(String recordId) {
    return writer.append("zone-a", new OwnerClaimed(recordId, "instance", 1));
  }

  private List<String> recordIds() {
    return log.records("zone-a", ZoneRecord.class).stream().map(ZoneRecord::recordId).toList();
  }
}
