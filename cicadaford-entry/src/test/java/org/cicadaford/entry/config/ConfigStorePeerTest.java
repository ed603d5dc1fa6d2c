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

/** Guards against a configuration that reverts, or differs from the log's, because of a peer. */
class ConfigStorePeerTest {

  private static final long RETENTION_MILLIS = 30_000;

  /** A daemon is cut off from the log at any point and learns from a peer that is not. */
  @Property(seed = "11", tries = 200)
  void whatAPeerTellsNeverRevertsAndEndsAsTheLogSays(
      @ForAll @IntRange(min = 0, max = 12) int readBefore,
      @ForAll @IntRange(min = 1, max = 12) int toldAtOnce,
      @ForAll @IntRange(min = 0, max = 12) int readAgainFrom)
      throws MalformedRecordException {
    FakeLog log = new FakeLog();
    EntryMetrics metrics = new EntryMetrics();
    LogWriter writer = new LogWriter("test", log, 8, InstantSource.system(), metrics);
    ConfigStore holder = new ConfigStore(writer, RETENTION_MILLIS, random(), metrics);
    Samples.publish(log);
    for (int key = 0; key < 10; key++) {
      log.put("config", new KeyGranted("grant-" + key, "hash-" + key, "counters"));
    }
    ConfigStore peer = new ConfigStore(writer, RETENTION_MILLIS, random(), metrics);
    List<ConfigRecord> records = log.records("config", ConfigRecord.class);
    feed(peer, records, 0, records.size(), 2_000);
    feed(holder, records, 0, readBefore, 1_000);

    for (long told = readBefore; told < records.size(); told += toldAtOnce) {
      long before = holder.view().version();
      ConfigRecordsAnswer answer = peer.recordsFrom(before + 1);
      int count = Math.min(toldAtOnce, answer.records().size());
      holder.applyPeerRecords(
          new ConfigRecordsAnswer(
              answer.snapshot(), answer.firstOffset(), answer.records().subList(0, count), 2_000),
          3_000);
      assertThat(holder.view().version()).isGreaterThanOrEqualTo(before);
    }
    holder.confirmFromPeer(peer.view().version(), 2_000);
    assertThat(holder.view().confirmedAtMillis()).isEqualTo(2_000);
    feed(holder, records, Math.min(readAgainFrom, readBefore), records.size(), 4_000);

    assertThat(holder.view().version()).isEqualTo(records.size() - 1);
    assertThat(holder.view().state().snapshot("s")).isEqualTo(peer.view().state().snapshot("s"));
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
