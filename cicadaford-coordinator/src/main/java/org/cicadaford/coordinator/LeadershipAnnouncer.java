package org.cicadaford.coordinator;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Announces the coordinator on this instance until the store has confirmed it, and again whenever
 * the announcement has been replaced by one that is not newer.
 *
 * <p>Other instances connect to the announced address only. While the announcement is missing they
 * refuse all requests, and since the coordinator keeps the journal growing, none of them replaces
 * it.
 */
final class LeadershipAnnouncer {

  /**
   * Delay before an announcement that was not confirmed is repeated, in milliseconds; each attempt
   * costs a store call.
   */
  private static final long RETRY_DELAY_MILLIS = 200;

  /** An announcement and the state of its attempts. */
  private static final class Announcement {
    private final Leadership leadership;
    private final long sequence;
    private final long begunAtMillis;
    private final CompletableFuture<Void> firstAttempt = new CompletableFuture<>();
    private int attemptCount;
    private AppendOutcome lastOutcome;

    private Announcement(Leadership leadership, long sequence, long begunAtMillis) {
      this.leadership = leadership;
      this.sequence = sequence;
      this.begunAtMillis = begunAtMillis;
    }

    private boolean stored() {
      return lastOutcome == AppendOutcome.STORED;
    }
  }

  private final CellStore store;
  private final ScheduledExecutorService loop;
  private final LongSupplier nowMillis;
  private final CellMetrics metrics;
  private final DecisionLog log;

  /** The announcement to keep in force, or null if this instance has nothing to announce. */
  private Announcement current;

  private long lastEpoch;
  private long nextSequence;

  LeadershipAnnouncer(
      CellStore store,
      ScheduledExecutorService loop,
      LongSupplier nowMillis,
      CellMetrics metrics,
      DecisionLog log) {
    this.store = store;
    this.loop = loop;
    this.nowMillis = nowMillis;
    this.metrics = metrics;
    this.log = log;
  }

  /**
   * Announces the coordinator, or its resignation, until the store has confirmed it. The result
   * completes after the first attempt, whatever its outcome.
   */
  CompletableFuture<Void> announce(Leadership leadership) {
    if (leadership.epoch() != lastEpoch) {
      lastEpoch = leadership.epoch();
      nextSequence = 0;
    }
    // The store treats an equal sequence number as a retry and drops it.
    Announcement announcement = new Announcement(leadership, nextSequence++, nowMillis.getAsLong());
    current = announcement;
    attempt(announcement);
    return announcement.firstAttempt;
  }

  /** Handles the announcement that an instance reads from the store at present. */
  void observe(Leadership observed) {
    boolean replaced =
        current != null && current.stored() && observed.epoch() < current.leadership.epoch();
    if (replaced) {
      write(current, "replaced", " by_epoch=" + observed.epoch());
      announce(current.leadership);
    }
  }

  /** Stops repeating the announcement, for example when a successor has taken over. */
  void stop() {
    current = null;
  }

  private void attempt(Announcement announcement) {
    if (announcement != current) {
      return;
    }
    announcement.attemptCount++;
    Futures.call(() -> store.announceLeadership(announcement.leadership, announcement.sequence))
        .exceptionally(failure -> AppendOutcome.UNKNOWN)
        .thenAccept(outcome -> handleOutcome(announcement, outcome));
  }

  private void handleOutcome(Announcement announcement, AppendOutcome outcome) {
    if (outcome != announcement.lastOutcome) {
      write(announcement, outcome.name(), "");
    }
    announcement.lastOutcome = outcome;
    announcement.firstAttempt.complete(null);
    switch (outcome) {
      case STORED -> metrics.recordElectionEvent("announced");
      case REFUSED, UNKNOWN -> {
        metrics.recordElectionEvent("not-announced");
        loop.schedule(() -> attempt(announcement), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
      }
      case REJECTED ->
          // The same content is never accepted. The heartbeats in the journal name the coordinator.
          metrics.recordElectionEvent("not-announced");
      case FENCED -> {
        // A successor has announced itself.
        if (announcement == current) {
          current = null;
        }
      }
      default -> throw new IllegalStateException("unknown outcome " + outcome);
    }
  }

  private void write(Announcement announcement, String outcome, String detail) {
    log.write(
        "announce",
        "epoch-" + announcement.leadership.epoch(),
        outcome,
        "vacant="
            + announcement.leadership.vacant()
            + " attempt="
            + announcement.attemptCount
            + " age_ms="
            + (nowMillis.getAsLong() - announcement.begunAtMillis)
            + detail);
  }
}
