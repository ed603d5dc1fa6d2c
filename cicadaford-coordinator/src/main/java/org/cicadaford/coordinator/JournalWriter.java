package org.cicadaford.coordinator;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.cicadaford.cell.ClockReading;
import org.cicadaford.cell.ElapsedTime;
import org.cicadaford.cell.RecordWrite;

/** Appends the batches of one epoch to the journal, one after the other, until each is stored. */
final class JournalWriter {

  /**
   * Least time between two appends, in milliseconds. Each append is paid for; a job passes three of
   * them, so it waits 30 ms at most.
   */
  private static final long APPEND_INTERVAL_MILLIS = 20;

  /** Time after which an append that failed is repeated, in milliseconds. */
  private static final long APPEND_RETRY_MILLIS = 50;

  /** Failed attempts in a row after which the store counts as lost. */
  private static final int FAILURES_UNTIL_UNSOUND = 3;

  private final long epoch;
  private final CellStore store;
  private final ScheduledExecutorService loop;
  private final Supplier<ClockReading> clock;
  private final CellMetrics metrics;
  private final Runnable fenced;
  private boolean running = true;
  private boolean open;
  private long sequence;
  private ClockReading lastStoredAt;
  private OptionalLong lastAppendAtMillis = OptionalLong.empty();
  private int failuresInARow;

  /**
   * Creates the writer of an epoch that was claimed just now.
   *
   * @param fenced called once when another epoch has taken over
   */
  JournalWriter(
      long epoch,
      CellStore store,
      ScheduledExecutorService loop,
      Supplier<ClockReading> clock,
      CellMetrics metrics,
      Runnable fenced) {
    this.epoch = epoch;
    this.store = store;
    this.loop = loop;
    this.clock = clock;
    this.metrics = metrics;
    this.fenced = fenced;
    this.lastStoredAt = clock.get();
  }

  void stop() {
    running = false;
  }

  /** Returns whether an append may begin now. */
  boolean free() {
    return !open && !appendedWithin(APPEND_INTERVAL_MILLIS - 1);
  }

  boolean open() {
    return open;
  }

  long sequence() {
    return sequence;
  }

  private boolean appendedWithin(long millis) {
    return ElapsedTime.within(lastAppendAtMillis, clock.get().monotonicMillis(), millis);
  }

  /**
   * Returns the age of the newest append that was stored, counted from its sending. Time in which
   * the instance was suspended counts, as another one may have claimed the journal meanwhile.
   */
  long storedAgeMillis() {
    return clock.get().millisSince(lastStoredAt);
  }

  /** Returns the steady time at which the newest append that was stored was sent. */
  long lastStoredAtMillis() {
    return lastStoredAt.monotonicMillis();
  }

  /** Returns whether the store takes appends: none has failed again and one was stored lately. */
  boolean sound(long maxAgeMillis) {
    return failuresInARow < FAILURES_UNTIL_UNSOUND && storedAgeMillis() <= maxAgeMillis;
  }

  boolean heartbeatDue() {
    return !appendedWithin(ElectionPolicy.JOURNAL_HEARTBEAT_MILLIS - 1);
  }

  /** Appends a record that shows only that the coordinator lives. */
  void heartbeat(Runnable stored) {
    write(List.of(JournalHeartbeat.record(epoch, sequence + 1)), stored);
  }

  /** Appends records; {@code stored} is called once they are stored. */
  void write(List<RecordWrite> records, Runnable stored) {
    sequence++;
    open = true;
    attempt(records, stored);
  }

  private void attempt(List<RecordWrite> records, Runnable stored) {
    ClockReading sentAt = clock.get();
    lastAppendAtMillis = OptionalLong.of(sentAt.monotonicMillis());
    store
        .append(epoch, sequence, records)
        .exceptionally(failure -> AppendOutcome.UNKNOWN)
        .thenAccept(outcome -> answered(outcome, records, stored, sentAt));
  }

  private void answered(
      AppendOutcome outcome, List<RecordWrite> records, Runnable stored, ClockReading sentAt) {
    metrics.appended(outcome, clock.get().monotonicMillis() - sentAt.monotonicMillis());
    if (!running) {
      return;
    }
    switch (outcome) {
      case STORED -> {
        open = false;
        failuresInARow = 0;
        lastStoredAt = sentAt;
        stored.run();
      }
      case FENCED -> {
        running = false;
        fenced.run();
      }
      case REFUSED, UNKNOWN -> {
        failuresInARow++;
        loop.schedule(
            () -> {
              if (running) {
                attempt(records, stored);
              }
            },
            APPEND_RETRY_MILLIS,
            TimeUnit.MILLISECONDS);
      }
      default -> throw new IllegalStateException("unknown outcome " + outcome);
    }
  }
}
