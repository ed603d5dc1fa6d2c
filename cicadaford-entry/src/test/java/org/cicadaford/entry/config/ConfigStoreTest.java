package org.cicadaford.entry.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.InstantSource;
import java.util.List;
import java.util.random.RandomGenerator;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;
import org.cicadaford.decision.ConfigState;
import org.cicadaford.entry.metrics.EntryMetrics;
import org.cicadaford.entry.stream.LogWriter;
import org.cicadaford.entry.stream.StreamPosition;
import org.cicadaford.entry.support.Await;
import org.cicadaford.entry.support.FakeLog;
import org.cicadaford.entry.support.Samples;
import org.cicadaford.model.ConfigRecord;
import org.cicadaford.model.ConfigRecord.ConfigSnapshot;
import org.cicadaford.model.ConfigRecord.KeyGranted;

/** Guards against a configuration that goes back, or expires for lack of a snapshot. */
class ConfigStoreTest {

  private static final long RETENTION_MILLIS = 30_000;

  private final FakeLog log = new FakeLog();
  private final EntryMetrics metrics = new EntryMetrics();
  private final LogWriter writer = new LogWriter("test", log, 8, InstantSource.system(), metrics);
  private final ConfigStore store = new ConfigStore(writer, RETENTION_MILLIS, random(), metrics);

  private static RandomGenerator random() {
    return RandomGenerator.of("L64X128MixRandom");
  }

  @BeforeTry
  void start() {
    writer.start();
  }

  @AfterTry
  void stop() throws InterruptedException {
    writer.stop();
  }

  @Example
  void viewHasVersionAndConfirmationTime() {
    Samples.publish(log);
    feed(0, 1_000);
    store.onPage(new StreamPosition(3, true, 2_000));

    assertThat(store.view().version()).isEqualTo(2);
    assertThat(store.view().confirmedAtMillis()).isEqualTo(2_000);
    assertThat(store.view().isFresh(5_000, 7_000)).isTrue();
    assertThat(store.view().isFresh(5_000, 7_001)).isFalse();
  }

  @Example
  void publishedViewIsNotChangedByLaterRecords() {
    Samples.publish(log);
    feed(0, 1_000);
    store.onPage(new StreamPosition(3, true, 1_000));
    ConfigState earlier = store.view().state();

    store.onRecord(3, new KeyGranted("late", "hash", "counters"), 1_100);
    store.onPage(new StreamPosition(4, true, 1_100));

    assertThat(earlier.teamOfKeyHash("hash")).isEmpty();
    assertThat(store.view().state().teamOfKeyHash("hash")).contains("counters");
  }

  @Example
  void viewIsKeptUnconfirmedAfterExpiredRecordsUntilTheNextSnapshot() {
    Samples.publish(log);
    feed(0, 1_000);
    store.onPage(new StreamPosition(3, true, 1_000));
    ConfigSnapshot later = snapshotAsOf(9);

    store.onRecordsExpired(9);
    store.onRecord(9, new KeyGranted("between", "hash", "counters"), 2_000);
    store.onPage(new StreamPosition(10, true, 2_000));
    assertThat(store.view().version()).isEqualTo(2);
    assertThat(store.view().confirmedAtMillis()).isEqualTo(1_000);

    store.onRecord(10, later, 3_000);
    store.onPage(new StreamPosition(11, true, 3_000));
    assertThat(store.view().version()).isEqualTo(10);
    assertThat(store.view().confirmedAtMillis()).isEqualTo(3_000);
  }

  @Example
  void snapshotIsWrittenWithinHalfTheRetention() throws InterruptedException {
    Samples.publish(log);
    feed(0, 1_000);
    for (long nowMillis = 1_000; nowMillis < 1_000 + RETENTION_MILLIS / 2; nowMillis += 500) {
      store.onPage(new StreamPosition(3, true, nowMillis));
    }

    Await.until(() -> log.records("config", ConfigRecord.class).size() > 3);

    assertThat(log.records("config", ConfigRecord.class).get(3))
        .isInstanceOfSatisfying(
            ConfigSnapshot.class,
            snapshot -> {
              assertThat(snapshot.asOfOffset()).isEqualTo(2);
              assertThat(snapshot.teams()).hasSize(2);
            });
  }

  @Example
  void confirmationOfAVersionNotReachedIsIgnored() {
    Samples.publish(log);
    feed(0, 1_000);
    store.onPage(new StreamPosition(3, true, 1_000));

    store.confirmFromPeer(3, 5_000);
    assertThat(store.view().confirmedAtMillis()).isEqualTo(1_000);

    store.confirmFromPeer(2, 5_000);
    assertThat(store.view().confirmedAtMillis()).isEqualTo(5_000);
  }

  private void feed(long fromOffset, long readAtMillis) {
    List<ConfigRecord> records = log.records("config", ConfigRecord.class);
    for (long offset = fromOffset; offset < records.size(); offset++) {
      store.onRecord(offset, records.get((int) offset), readAtMillis);
    }
  }

  private ConfigSnapshot snapshotAsOf(long offset) {
    ConfigSnapshot current = store.view().state().snapshot("snapshot");
    return new ConfigSnapshot(
        current.recordId(),
        offset,
        current.publishVersion(),
        current.descriptions(),
        current.teams(),
        current.queues(),
        current.teamByKeyHash(),
        current.withdrawnKeyHashes(),
        current.zonesOut(),
        current.zoneVersions(),
        current.allotments(),
        current.allotmentFences());
  }
}
