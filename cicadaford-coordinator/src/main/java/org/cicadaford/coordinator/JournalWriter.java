package org.cicadaford.coordinator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cicadaford.cell.ClockReading;
import org.cicadaford.cell.ElapsedTime;
import org.cicadaford.cell.RecordLimits;
import org.cicadaford.cell.RecordWrite;

/**
 * Appends the batches of one epoch to the journal in order, retrying each until it is stored.
 *
 * <p>A batch that exceeds the store's limit on a call is stored in several appends. If the store
 * rejects the content of an append, it is divided until the records at fault are found, and all
 * others are stored. The records of one job are never divided. Records that are rejected alone are
 * sent once more after the store has accepted another append, and are at fault if it rejects them
 * again. Designed for batches of thousands of records of which a few are at fault: each costs two
 * appends for each halving of the batch, and one more.
 */
final class JournalWriter {

  /**
   * Minimum interval between appends, in milliseconds. Each append costs a store call; a job passes
   * through three appends and waits 30 ms at most for them.
   */
  private static final long APPEND_INTERVAL_MILLIS = 20;

  /**
   * Interval at which a heartbeat record is added to other records, in milliseconds. Instances that
   * watch the end of the journal learn of the coordinator from it.
   */
  private static final long NAMING_INTERVAL_MILLIS = 1_000;

  /** Delay before a failed append is retried, in milliseconds. */
  private static final long APPEND_RETRY_DELAY_MILLIS = 50;

  /** Maximum size of the records of an append, in bytes, which leaves room for a heartbeat. */
  private static final int MAX_PART_BYTES = RecordLimits.MAX_CALL_BYTES - (4 << 10);

  /** Number of consecutive failed attempts after which the store counts as unavailable. */
  private static final int UNHEALTHY_FAILURE_COUNT = 3;

  private final Leadership coordinator;
  private final CellStore store;
  private final ScheduledExecutorService loop;
  private final Supplier<ClockReading> clock;
  private final CellMetrics metrics;
  private final Consumer<List<RecordWrite>> onRejected;
  private final Runnable onFenced;
  private final Consumer<Throwable> onFault;

  /** Parts of the current batch that are to be appended, as lists of the records of each owner. */
  private final Deque<List<List<RecordWrite>>> parts = new ArrayDeque<>();

  /** Records of the current batch, by owner, that the store has rejected on their own. */
  private final List<List<RecordWrite>> suspects = new ArrayList<>();

  /** Records of the current batch that are at fault, or that exceed the limit on a record. */
  private final List<RecordWrite> rejected = new ArrayList<>();

  /** Whether the store has been asked for a heartbeat since it rejected a part of this batch. */
  private boolean probed;

  /** Whether the store has rejected an append of the current batch. */
  private boolean rejectionSeen;

  /** Whether all else of the current batch is stored, and the suspects are sent once more. */
  private boolean resending;

  private boolean running = true;
  private boolean appendPending;

  /** Append that follows the pending one in place of the effects of that, or null. */
  private Runnable last;

  private long sequence;
  private ClockReading lastStoredAt;
  private OptionalLong lastAppendAtMillis = OptionalLong.empty();
  private OptionalLong lastNamedAtMillis = OptionalLong.empty();
  private int consecutiveFailures;

  /**
   * Creates the writer of a newly claimed epoch.
   *
   * @param coordinator coordinator that has claimed it, which the heartbeats name
   * @param claimedAt time at which the claim was sent
   * @param onRejected receives the records of a batch that the store rejects for their content,
   *     once all others are stored and before the batch counts as stored
   * @param onFenced runs once when a higher epoch has taken over
   * @param onFault receives an exception in the handling of an outcome; the batch stays open
   */
  JournalWriter(
      Leadership coordinator,
      ClockReading claimedAt,
      CellStore store,
      ScheduledExecutorService loop,
      Supplier<ClockReading> clock,
      CellMetrics metrics,
      Consumer<List<RecordWrite>> onRejected,
      Runnable onFenced,
      Consumer<Throwable> onFault) {
    this.coordinator = coordinator;
    this.store = store;
    this.loop = loop;
    this.clock = clock;
    this.metrics = metrics;
    this.onRejected = onRejected;
    this.onFenced = onFenced;
    this.onFault = onFault;
    this.lastStoredAt = claimedAt;
  }

  void stop() {
    running = false;
  }

  /** Returns whether an append may start now. */
  boolean canAppend() {
    return !appendPending && !appendedWithin(APPEND_INTERVAL_MILLIS - 1);
  }

  boolean isAppendPending() {
    return appendPending;
  }

  long sequence() {
    return sequence;
  }

  private boolean appendedWithin(long millis) {
    return ElapsedTime.within(lastAppendAtMillis, clock.get().monotonicMillis(), millis);
  }

  /**
   * Returns the time since the newest stored append was sent, in milliseconds. It includes time for
   * which the instance was suspended, as another instance may have claimed the journal meanwhile.
   */
  long lastStoredAgeMillis() {
    return clock.get().millisSince(lastStoredAt);
  }

  /** Returns the time at which the newest stored append was sent. */
  ClockReading lastStoredAt() {
    return lastStoredAt;
  }

  /**
   * Returns whether recent appends did not fail repeatedly and one was stored within the given
   * time.
   */
  boolean isHealthy(long maxAgeMillis) {
    return consecutiveFailures < UNHEALTHY_FAILURE_COUNT && lastStoredAgeMillis() <= maxAgeMillis;
  }

  boolean isHeartbeatDue() {
    return !appendedWithin(ElectionPolicy.JOURNAL_HEARTBEAT_MILLIS - 1);
  }

  /** Appends a heartbeat record. */
  void appendHeartbeat(Runnable onStored) {
    lastNamedAtMillis = OptionalLong.empty();
    append(List.of(), onStored);
  }

  /**
   * Appends records, after a heartbeat record if one is due; {@code onStored} runs once they are
   * stored, except for rejected ones.
   */
  void append(List<RecordWrite> records, Runnable onStored) {
    appendPending = true;
    divide(records);
    if (parts.isEmpty()) {
      parts.add(List.of());
    }
    appendNextPart(onStored);
  }

  /**
   * Appends a record after the pending append, whose callback does not run any more. {@code
   * onStored} runs once the record is stored, or is rejected.
   */
  void appendLast(RecordWrite record, Runnable onStored) {
    last = () -> append(List.of(record), onStored);
    if (!appendPending) {
      appendLast();
    }
  }

  private void appendLast() {
    Runnable appending = last;
    last = null;
    appending.run();
  }

  /** Divides a batch into parts within the limit on a call; too large records are rejected here. */
  private void divide(List<RecordWrite> records) {
    Map<String, List<RecordWrite>> byOwner = new LinkedHashMap<>();
    records.forEach(
        write -> byOwner.computeIfAbsent(write.owner(), owner -> new ArrayList<>()).add(write));
    List<List<RecordWrite>> part = new ArrayList<>();
    int partBytes = 0;
    for (List<RecordWrite> group : byOwner.values()) {
      if (group.stream().anyMatch(RecordLimits::isTooLarge)) {
        rejected.addAll(group);
        continue;
      }
      int bytes = group.stream().mapToInt(RecordLimits::sizeOf).sum();
      if (!part.isEmpty() && partBytes + bytes > MAX_PART_BYTES) {
        parts.add(part);
        part = new ArrayList<>();
        partBytes = 0;
      }
      part.add(group);
      partBytes += bytes;
    }
    if (!part.isEmpty()) {
      parts.add(part);
    }
  }

  private void appendNextPart(Runnable onStored) {
    List<List<RecordWrite>> part = parts.poll();
    sequence++;
    long nowMillis = clock.get().monotonicMillis();
    List<RecordWrite> appended = new ArrayList<>();
    // A heartbeat would leave open which of the two the store rejects. On a slow store one is due
    // in
    // each attempt, so that the records would be sent without end.
    boolean alone = rejectionSeen && part.size() == 1;
    boolean named = ElapsedTime.within(lastNamedAtMillis, nowMillis, NAMING_INTERVAL_MILLIS - 1);
    if (!alone && !named) {
      lastNamedAtMillis = OptionalLong.of(nowMillis);
      appended.add(JournalHeartbeat.record(coordinator, sequence));
    }
    part.forEach(appended::addAll);
    if (appended.isEmpty()) {
      appended.add(JournalHeartbeat.unnamed(coordinator, sequence));
    }
    attempt(part, appended, onStored);
  }

  private void attempt(List<List<RecordWrite>> part, List<RecordWrite> records, Runnable onStored) {
    ClockReading sentAt = clock.get();
    lastAppendAtMillis = OptionalLong.of(sentAt.monotonicMillis());
    store
        .append(coordinator.epoch(), sequence, records)
        .exceptionally(failure -> AppendOutcome.UNKNOWN)
        .thenAccept(
            outcome -> guard(() -> handleOutcome(outcome, part, records, onStored, sentAt)));
  }

  /** Runs a step; its exception would otherwise be lost in a future. */
  private void guard(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException e) {
      onFault.accept(e);
    }
  }

  private void handleOutcome(
      AppendOutcome outcome,
      List<List<RecordWrite>> part,
      List<RecordWrite> records,
      Runnable onStored,
      ClockReading sentAt) {
    metrics.recordAppend(outcome, clock.get().monotonicMillis() - sentAt.monotonicMillis());
    if (!running) {
      return;
    }
    switch (outcome) {
      case STORED -> {
        consecutiveFailures = 0;
        lastStoredAt = sentAt;
        if (parts.isEmpty() && !suspects.isEmpty()) {
          resending = true;
          suspects.forEach(group -> parts.add(List.of(group)));
          suspects.clear();
        }
        continueBatch(onStored);
      }
      case FENCED -> {
        running = false;
        onFenced.run();
      }
      case REJECTED -> {
        int count = part.stream().mapToInt(List::size).sum();
        handleRejection(part, records.size() > count, onStored);
      }
      case REFUSED, UNKNOWN -> {
        consecutiveFailures++;
        retryLater(() -> attempt(part, records, onStored));
      }
      default -> throw new IllegalStateException("unknown outcome " + outcome);
    }
  }

  private void continueBatch(Runnable onStored) {
    if (parts.isEmpty()) {
      complete(onStored);
    } else {
      appendNextPart(onStored);
    }
  }

  /**
   * Divides a rejected part and appends the next one. Records that were rejected on their own are
   * at fault only if the store accepts others afterwards and rejects them again, so an append
   * follows in any case, if only of a heartbeat. A store that rejects even that counts as failed,
   * and no job fails because of it.
   */
  private void handleRejection(
      List<List<RecordWrite>> part, boolean withHeartbeat, Runnable onStored) {
    // A rejected append does not use up its sequence number.
    sequence--;
    rejectionSeen = true;
    if (resending) {
      part.forEach(rejected::addAll);
      continueBatch(onStored);
      return;
    }
    if (part.isEmpty()) {
      consecutiveFailures++;
      suspects.forEach(group -> parts.addFirst(List.of(group)));
      suspects.clear();
      parts.addFirst(part);
      retryLater(() -> appendNextPart(onStored));
      return;
    }
    if (part.size() == 1 && !withHeartbeat) {
      suspects.add(part.get(0));
      if (parts.isEmpty()) {
        parts.add(List.of());
      }
    } else {
      int half = part.size() / 2;
      parts.addFirst(part.subList(half, part.size()));
      if (half > 0) {
        parts.addFirst(part.subList(0, half));
      }
      if (!probed) {
        // If the store rejects all appends, dividing a large batch would cost thousands of calls.
        probed = true;
        parts.addFirst(List.of());
      }
    }
    appendNextPart(onStored);
  }

  private void complete(Runnable onStored) {
    appendPending = false;
    probed = false;
    rejectionSeen = false;
    resending = false;
    if (last != null) {
      rejected.clear();
      appendLast();
      return;
    }
    if (!rejected.isEmpty()) {
      List<RecordWrite> reported = List.copyOf(rejected);
      rejected.clear();
      onRejected.accept(reported);
    }
    onStored.run();
  }

  private void retryLater(Runnable attempt) {
    loop.schedule(
        () -> {
          if (running) {
            guard(attempt);
          }
        },
        APPEND_RETRY_DELAY_MILLIS,
        TimeUnit.MILLISECONDS);
  }
}
