package org.cicadaford.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import net.jqwik.api.Example;
import org.cicadaford.cell.ClockReading;
import org.cicadaford.cell.RecordLimits;
import org.cicadaford.cell.RecordWrite;

/** Tests that each batch is stored once and that a replaced coordinator stops. */
class JournalWriterTest {

  private static final List<RecordWrite> RECORDS = List.of(new RecordWrite("k", new byte[] {1}));

  private static final Leadership COORDINATOR = new Leadership(3, "e1", "10.0.0.1:7000");

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final List<List<RecordWrite>> appended = new ArrayList<>();
  private final List<Long> sequences = new ArrayList<>();
  private final List<AppendOutcome> outcomes = new ArrayList<>();
  private final List<RecordWrite> rejected = new ArrayList<>();
  private final List<RecordWrite> stored = new ArrayList<>();
  private Predicate<RecordWrite> refuses = write -> false;
  private final List<Throwable> faults = new ArrayList<>();
  private int storedCount;
  private int fencedCount;

  /** Time in which the store answers. */
  private long answerMillis;

  private long nowMillis;

  private JournalWriter writer() {
    channel.freezeTime();
    CellStore store =
        new UnusedCellStore() {
          @Override
          public CompletableFuture<AppendOutcome> append(
              long epoch, long sequence, List<RecordWrite> records) {
            nowMillis += answerMillis;
            sequences.add(sequence);
            appended.add(records);
            AppendOutcome outcome =
                records.stream().anyMatch(refuses) ? AppendOutcome.REJECTED : AppendOutcome.STORED;
            if (outcome == AppendOutcome.STORED) {
              stored.addAll(records);
            }
            return CompletableFuture.completedFuture(
                outcomes.isEmpty() ? outcome : outcomes.remove(0));
          }
        };
    return new JournalWriter(
        COORDINATOR,
        new ClockReading(nowMillis, nowMillis),
        store,
        channel.eventLoop(),
        () -> new ClockReading(nowMillis, nowMillis),
        new CellMetrics(),
        rejected::addAll,
        () -> fencedCount++,
        faults::add);
  }

  private void advanceTime(long millis) {
    nowMillis += millis;
    channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }

  /**
   * Guards against storing a batch twice, or under two sequence numbers, when its answer is lost.
   */
  @Example
  void lostAppendIsRetriedWithTheSameSequence() {
    outcomes.addAll(List.of(AppendOutcome.UNKNOWN, AppendOutcome.REFUSED, AppendOutcome.STORED));
    JournalWriter writer = writer();
    writer.append(RECORDS, () -> storedCount++);
    assertThat(writer.isAppendPending()).isTrue();
    advanceTime(60);
    advanceTime(60);
    assertThat(sequences).containsExactly(1L, 1L, 1L);
    assertThat(storedCount).isEqualTo(1);
    assertThat(writer.isAppendPending()).isFalse();
  }

  /** Guards against a replaced coordinator that continues to act on its batches. */
  @Example
  void fencedWriterStops() {
    outcomes.add(AppendOutcome.FENCED);
    JournalWriter writer = writer();
    writer.append(RECORDS, () -> storedCount++);
    advanceTime(500);
    assertThat(fencedCount).isEqualTo(1);
    assertThat(storedCount).isZero();
    assertThat(sequences).hasSize(1);
  }

  /**
   * Guards against a busy journal from which no instance learns who the coordinator is, and against
   * a heartbeat in each of its appends.
   */
  @Example
  void coordinatorIsNamedAtTheStartAndAtAnIntervalBesideOtherRecords() {
    JournalWriter writer = writer();
    for (int append = 0; append < 25; append++) {
      outcomes.add(AppendOutcome.STORED);
      writer.append(RECORDS, () -> storedCount++);
      advanceTime(100);
    }
    List<Integer> naming = new ArrayList<>();
    for (int append = 0; append < appended.size(); append++) {
      if (JournalHeartbeat.coordinatorIn(appended.get(append).get(0)).isPresent()) {
        naming.add(append);
      }
    }
    assertThat(naming).containsExactly(0, 10, 20);
    assertThat(appended).allMatch(records -> records.containsAll(RECORDS));
  }

  /** Guards against reporting a coordinator as healthy while the store rejects its appends. */
  @Example
  void repeatedFailuresAreUnhealthy() {
    for (int attempt = 0; attempt < 4; attempt++) {
      outcomes.add(AppendOutcome.REFUSED);
    }
    JournalWriter writer = writer();
    assertThat(writer.isHealthy(1_000)).isTrue();
    writer.append(RECORDS, () -> storedCount++);
    advanceTime(60);
    advanceTime(60);
    assertThat(writer.isHealthy(1_000)).isFalse();
  }

  private static List<RecordWrite> jobs(int count) {
    List<RecordWrite> records = new ArrayList<>();
    for (int job = 0; job < count; job++) {
      records.add(new RecordWrite("d/" + job, new byte[10]));
      records.add(new RecordWrite("p/" + job, new byte[10]));
    }
    return records;
  }

  /** Guards against a record that keeps all others from being stored, for ever. */
  @Example
  void recordsAtFaultAreFoundAndAllOthersAreStoredOnce() {
    refuses = write -> write.key().equals("p/7") || write.key().equals("d/30");
    JournalWriter writer = writer();
    List<RecordWrite> records = jobs(40);
    writer.append(records, () -> storedCount++);
    assertThat(storedCount).isEqualTo(1);
    assertThat(rejected)
        .extracting(RecordWrite::key)
        .containsExactlyInAnyOrder("d/7", "p/7", "d/30", "p/30");
    assertThat(stored).filteredOn(records::contains).doesNotHaveDuplicates().hasSize(76);
    assertThat(appended).hasSizeLessThan(30);
    assertThat(appended.stream().filter(call -> Collections.frequency(appended, call) > 1))
        .as("only the records at fault are sent twice, alone")
        .hasSize(4)
        .allMatch(call -> call.size() == 2 && call.stream().anyMatch(refuses));
    assertThat(writer.isAppendPending()).isFalse();
    assertThat(writer.isHealthy(1_000)).isTrue();
  }

  /**
   * Guards against a gap in the sequence numbers, which the store answers as if a successor had
   * taken over.
   */
  @Example
  void rejectedAppendUsesNoSequenceNumber() {
    refuses = write -> write.key().equals("p/1");
    JournalWriter writer = writer();
    writer.append(jobs(2), () -> storedCount++);
    long expected = 1;
    for (int append = 0; append < sequences.size(); append++) {
      assertThat(sequences.get(append)).isEqualTo(expected);
      if (appended.get(append).stream().noneMatch(refuses)) {
        expected++;
      }
    }
    assertThat(writer.sequence()).isEqualTo(expected - 1);
  }

  /** Guards against jobs that fail because a store in trouble rejects whatever it is sent. */
  @Example
  void storeThatRejectsEverythingFailsNoJob() {
    refuses = write -> true;
    JournalWriter writer = writer();
    writer.append(jobs(1_000), () -> storedCount++);
    for (int retry = 0; retry < 20; retry++) {
      advanceTime(60);
    }
    assertThat(appended).hasSizeLessThan(30);
    assertThat(writer.isHealthy(60_000)).isFalse();
    refuses = write -> false;
    advanceTime(60);
    assertThat(storedCount).isEqualTo(1);
    assertThat(rejected).isEmpty();
    assertThat(stored).hasSizeGreaterThan(2_000);
  }

  /** Guards against blaming the only job of a batch for a store that rejects everything. */
  @Example
  void storeThatRejectsEverythingForAWhileStoresASingleJobAfterwards() {
    refuses = write -> true;
    JournalWriter writer = writer();
    writer.append(RECORDS, () -> storedCount++);
    advanceTime(60);
    assertThat(storedCount).isZero();
    refuses = write -> false;
    advanceTime(60);
    assertThat(storedCount).isEqualTo(1);
    assertThat(rejected).isEmpty();
    assertThat(stored).containsAll(RECORDS);
  }

  /** Guards against a heartbeat that the store rejects and that is taken for a fault of a job. */
  @Example
  void rejectedHeartbeatBlamesNoJob() {
    refuses = write -> JournalHeartbeat.coordinatorIn(write).isPresent();
    JournalWriter writer = writer();
    writer.append(RECORDS, () -> storedCount++);
    assertThat(storedCount).isEqualTo(1);
    assertThat(rejected).isEmpty();
  }

  /**
   * Guards against a lost append after a rejection that is stored under another number or never.
   */
  @Example
  void storeThatFailsBetweenTheRejectionAndTheNextAppendIsAskedAgain() {
    outcomes.addAll(
        List.of(
            AppendOutcome.REJECTED,
            AppendOutcome.UNKNOWN,
            AppendOutcome.REFUSED,
            AppendOutcome.STORED));
    refuses = write -> write.key().equals("p/1");
    JournalWriter writer = writer();
    writer.append(jobs(2), () -> storedCount++);
    advanceTime(60);
    advanceTime(60);
    assertThat(sequences.subList(0, 4)).containsExactly(1L, 1L, 1L, 1L);
    assertThat(storedCount).isEqualTo(1);
    assertThat(rejected).extracting(RecordWrite::key).containsExactlyInAnyOrder("d/1", "p/1");
  }

  /** Guards against a job that fails as the store had a fault while its records were sent alone. */
  @Example
  void recordsThatAreRejectedOnceAreNotAtFault() {
    outcomes.addAll(List.of(AppendOutcome.REJECTED, AppendOutcome.STORED, AppendOutcome.REJECTED));
    JournalWriter writer = writer();
    writer.append(RECORDS, () -> storedCount++);
    assertThat(storedCount).isEqualTo(1);
    assertThat(rejected).isEmpty();
    assertThat(stored).containsAll(RECORDS);
  }

  /** Guards against a record that a slow store rejects with a heartbeat each time, without end. */
  @Example
  void recordAtFaultIsFoundOnASlowStore() {
    answerMillis = 1_500;
    refuses =
        write -> {
          assertThat(appended).as("appends").hasSizeLessThan(50);
          return write.key().equals("k");
        };
    JournalWriter writer = writer();
    writer.append(RECORDS, () -> storedCount++);
    assertThat(faults).isEmpty();
    assertThat(storedCount).isEqualTo(1);
    assertThat(rejected).isEqualTo(RECORDS);
  }

  /** Guards against a batch that stays open for ever, as an exception is lost in a future. */
  @Example
  void exceptionInACallbackIsReported() {
    IllegalStateException fault = new IllegalStateException("fault");
    outcomes.add(AppendOutcome.UNKNOWN);
    JournalWriter writer = writer();
    writer.append(
        RECORDS,
        () -> {
          throw fault;
        });
    advanceTime(60);
    assertThat(faults).containsExactly(fault);
  }

  /** Guards against effects of a batch, and against a last record that is lost beside it. */
  @Example
  void lastRecordFollowsThePendingAppendWithoutItsEffects() {
    outcomes.add(AppendOutcome.UNKNOWN);
    JournalWriter writer = writer();
    writer.append(RECORDS, () -> storedCount++);
    List<String> ended = new ArrayList<>();
    writer.appendLast(new RecordWrite("last", new byte[] {1}), () -> ended.add("last"));
    assertThat(ended).isEmpty();
    advanceTime(60);
    assertThat(ended).containsExactly("last");
    assertThat(storedCount).isZero();
    assertThat(stored).extracting(RecordWrite::key).containsSubsequence("k", "last");
  }

  /** Guards against a batch that the store rejects for its size, after an outage for example. */
  @Example
  void batchLargerThanACallIsStoredInSeveral() {
    List<RecordWrite> records = new ArrayList<>();
    for (int job = 0; job < 30; job++) {
      records.add(new RecordWrite("p/" + job, new byte[200_000]));
    }
    records.add(new RecordWrite("p/30", new byte[RecordLimits.MAX_RECORD_BYTES]));
    JournalWriter writer = writer();
    writer.append(records, () -> storedCount++);
    assertThat(appended)
        .hasSize(3)
        .allMatch(
            call ->
                call.stream().mapToInt(RecordLimits::sizeOf).sum() <= RecordLimits.MAX_CALL_BYTES);
    assertThat(stored).containsAll(records.subList(0, 30)).doesNotContain(records.get(30));
    assertThat(rejected).containsExactly(records.get(30));
    assertThat(sequences).containsExactly(1L, 2L, 3L);
  }
}
