package org.cicadaford.entry.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.random.RandomGenerator;
import java.util.stream.LongStream;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.cicadaford.entry.metrics.EntryMetrics;
import org.cicadaford.entry.support.Await;
import org.cicadaford.entry.support.FakeLog;
import org.cicadaford.model.ZoneRecord;
import org.cicadaford.model.ZoneRecord.OwnerClaimed;

/** Guards against lost, duplicate or reordered records, and a false end of the stream. */
class StreamFollowerTest {

  private final FakeLog log = new FakeLog();
  private final Listener listener = new Listener();
  private final EntryMetrics metrics = new EntryMetrics();
  private final StreamFollower<ZoneRecord> follower =
      new StreamFollower<>(
          "zone-a",
          ZoneRecord.class,
          log,
          listener,
          20,
          InstantSource.system(),
          RandomGenerator.getDefault(),
          metrics);

  @AfterTry
  void stop() throws InterruptedException {
    follower.stop();
  }

  @Example
  void recordsAreReadOnceAndInOrderAcrossAnOutage() throws InterruptedException {
    put(5);
    follower.start();
    Await.until(() -> listener.offsets.size() == 5);
    log.setDown(true);
    Await.until(() -> !follower.isLogAvailable());
    put(4);
    log.setDown(false);

    Await.until(() -> listener.offsets.size() >= 9);

    assertThat(listener.offsets).containsExactlyElementsOf(LongStream.range(0, 9).boxed().toList());
  }

  @Example
  void expiredRecordsAreSkippedAndReported() throws InterruptedException {
    put(10);
    log.expireBefore("zone-a", 6);
    follower.start();

    Await.until(() -> listener.offsets.size() >= 4);

    assertThat(listener.gaps).containsExactly(6L);
    assertThat(listener.offsets).containsExactly(6L, 7L, 8L, 9L);
  }

  @Example
  void endIsReportedOnlyAfterTheLastRecordWithTheTimeOfTheRequest() throws InterruptedException {
    put(7);
    long beforeMillis = System.currentTimeMillis();
    follower.start();

    Await.until(() -> listener.positions.stream().anyMatch(StreamPosition::atEnd));

    for (StreamPosition position : listener.positions) {
      assertThat(position.atEnd()).isEqualTo(position.nextOffset() == 7);
      assertThat(position.requestedAtMillis()).isGreaterThanOrEqualTo(beforeMillis);
    }
    assertThat(listener.requestedAfterRead).isFalse();
  }

  @Example
  void malformedRecordIsSkipped() throws InterruptedException {
    put(1);
    log.putBytes("zone-a", new byte[] {1, 2, 3});
    put(1);
    follower.start();

    Await.until(() -> listener.offsets.size() == 2);

    assertThat(listener.offsets).containsExactly(0L, 2L);
  }

  private void put(int count) {
    for (int i = 0; i < count; i++) {
      log.put("zone-a", new OwnerClaimed("claim-" + i, "instance", i));
    }
  }

  private static final class Listener implements StreamListener<ZoneRecord> {
    private final List<Long> offsets = new CopyOnWriteArrayList<>();
    private final List<Long> gaps = new CopyOnWriteArrayList<>();
    private final List<StreamPosition> positions = new CopyOnWriteArrayList<>();
    private volatile long lastReadAtMillis;
    private volatile boolean requestedAfterRead;

    @Override
    public void onRecord(long offset, ZoneRecord record, long readAtMillis) {
      offsets.add(offset);
      lastReadAtMillis = readAtMillis;
    }

    @Override
    public void onPage(StreamPosition position) {
      boolean sawRecords = lastReadAtMillis > 0 && position.nextOffset() > 0;
      requestedAfterRead |=
          sawRecords && !position.atEnd() && position.requestedAtMillis() > lastReadAtMillis;
      positions.add(position);
    }

    @Override
    public void onRecordsExpired(long earliestOffset) {
      gaps.add(earliestOffset);
    }
  }
}
