package org.cicadaford.entry.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.InstantSource;
import java.util.List;
import java.util.random.RandomGenerator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cicadaford.entry.metrics.EntryMetrics;
import org.cicadaford.entry.stream.LogWriter;
import org.cicadaford.entry.stream.StreamPosition;
import org.cicadaford.entry.support.FakeLog;
import org.cicadaford.entry.support.Samples;
import org.cicadaford.model.ConfigRecord;
import org.cicadaford.model.ConfigRecord.KeyGranted;
import org.cicadaford.model.MalformedRecordException;
import org.cicadaford.wire.PeerMessage.ConfigRecordsAnswer;

/** Guards against peers that make the configuration go back or differ from the log. */
class ConfigStorePeerTest {

  private static final long RETENTION_MILLIS = 30_000;

  /** Cuts a daemon off from the log at any point and lets it read from a connected peer. */
  @Property(seed = "11", tries = 200)
  void peerRecordsNeverRevertAndEndInTheStateOfTheLog(
      @ForAll @IntRange(min = 0, max = 12) int readBefore,
      @ForAll @IntRange(min = 1, max = 12) int recordsPerAnswer,
      @ForAll @IntRange(min = 0, max = 12) int rereadFrom)
      throws MalformedRecordException {
    FakeLog log = new FakeLog();
    EntryMetrics metrics = new EntryMetrics();
    LogWriter writer = new LogWriter("test", log, 8, InstantSource.system(), metrics);
    ConfigStore store = new ConfigStore(writer, RETENTION_MILLIS, random(), metrics);
    Samples.publish(log);
    for (int key = 0; key < 10; key++) {
      log.put("config", new KeyGranted("grant-" + key, "hash-" + key, "counters"));
    }
    ConfigStore peer = new ConfigStore(writer, RETENTION_MILLIS, random(), metrics);
    List<ConfigRecord> records = log.records("config", ConfigRecord.class);
    feed(peer, records, 0, records.size(), 2_000);
    feed(store, records, 0, readBefore, 1_000);

    for (long nextOffset = readBefore;
        nextOffset < records.size();
        nextOffset += recordsPerAnswer) {
      long before = store.view().version();
      ConfigRecordsAnswer answer = peer.recordsFrom(before + 1);
      int count = Math.min(recordsPerAnswer, answer.records().size());
      store.applyPeerRecords(
          new ConfigRecordsAnswer(
              answer.snapshot(), answer.firstOffset(), answer.records().subList(0, count), 2_000),
          3_000);
      assertThat(store.view().version()).isGreaterThanOrEqualTo(before);
    }
    store.confirmFromPeer(peer.view().version(), 2_000);
    assertThat(store.view().confirmedAtMillis()).isEqualTo(2_000);
    feed(store, records, Math.min(rereadFrom, readBefore), records.size(), 4_000);

    assertThat(store.view().version()).isEqualTo(records.size() - 1);
    assertThat(store.view().state().snapshot("s")).isEqualTo(peer.view().state().snapshot("s"));
  }

  private static RandomGenerator random() {
    return RandomGenerator.of("L64X128MixRandom");
  }

  private static void feed(
      ConfigStore target,
      List<ConfigRecord> records,
      int fromOffset,
      int toOffset,
      long readAtMillis) {
    for (int offset = fromOffset; offset < toOffset; offset++) {
      target.onRecord(offset, records.get(offset), readAtMillis);
    }
    target.onPage(new StreamPosition(toOffset, true, readAtMillis));
  }
}
