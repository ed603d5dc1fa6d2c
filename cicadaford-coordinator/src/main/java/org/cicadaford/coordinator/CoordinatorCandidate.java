package org.cicadaford.coordinator;

import java.util.OptionalLong;
import java.util.Random;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.cicadaford.cell.ElapsedTime;

/**
 * Watches the journal while no coordinator is heard, and claims it as {@link ElectionPolicy} says.
 */
final class CoordinatorCandidate {

  /**
   * Least delay of a claim, in milliseconds. A claim is announced within about 30 ms, so an
   * instance that has first read the journal just after it learns of it in time.
   */
  static final int LEAST_CLAIM_DELAY_MILLIS = 30;

  /**
   * Largest random part of that delay, in milliseconds. An append takes the store 4 ms, so it is
   * long enough that the first claim is announced before most others are sent; those are rejected.
   */
  private static final int CLAIM_DELAY_BOUND_MILLIS = 60;

  /**
   * Range of the random part of an epoch, so that two claims hardly ever use the same one. With 64,
   * two instances that started together shared an epoch on 5 of 80 hunted days.
   */
  private static final int EPOCH_SPREAD = 1 << 20;

  /** Least time between two readings of the journal's end, in milliseconds; each is paid for. */
  private static final long OBSERVATION_INTERVAL_MILLIS = 50;

  /** Age of the last observation up to which the store counts as there, in milliseconds. */
  private static final long STORE_ANSWERS_MILLIS = 200;

  private final CellStore store;
  private final LongSupplier nowMillis;
  private final CellMetrics metrics;
  private final DecisionLog log;
  private final LongConsumer claimed;
  private final ElectionPolicy election = new ElectionPolicy();
  private final Random random = new Random();
  private boolean observing;
  private OptionalLong observedAtMillis = OptionalLong.empty();
  private OptionalLong answeredAtMillis = OptionalLong.empty();
  private boolean claiming;
  private final LongSupplier ownDelayMillis;
  private long claimDelayMillis;
  private long highestEpoch;

  /**
   * Creates a candidate.
   *
   * @param ownDelayMillis time that this instance leaves to others before it claims
   * @param claimed takes the epoch of a claim that was successful
   */
  CoordinatorCandidate(
      CellStore store,
      LongSupplier nowMillis,
      CellMetrics metrics,
      DecisionLog log,
      LongSupplier ownDelayMillis,
      LongConsumer claimed) {
    this.store = store;
    this.nowMillis = nowMillis;
    this.metrics = metrics;
    this.log = log;
    this.claimed = claimed;
    this.ownDelayMillis = ownDelayMillis;
    this.claimDelayMillis = drawDelay();
  }

  private long drawDelay() {
    return LEAST_CLAIM_DELAY_MILLIS + random.nextInt(CLAIM_DELAY_BOUND_MILLIS);
  }

  ElectionPolicy election() {
    return election;
  }

  void epochSeen(long epoch) {
    highestEpoch = Math.max(highestEpoch, epoch);
  }

  long highestEpoch() {
    return highestEpoch;
  }

  /** Notes that a claim has led to a coordinator, or has failed to. */
  void claimDone() {
    claiming = false;
  }

  /**
   * Returns whether another coordinator can be expected soon: the role may have to be claimed, and
   * the store answers, so that some instance will.
   */
  boolean takeoverExpected(long now) {
    return searching(now) && ElapsedTime.within(answeredAtMillis, now, STORE_ANSWERS_MILLIS);
  }

  /** Returns whether the role may have to be claimed soon. */
  boolean searching(long now) {
    return claiming || election.wantsObservation(now);
  }

  /**
   * Does what is due at this time.
   *
   * @param mayClaim whether this instance can be the coordinator; it observes the journal in any
   *     case
   */
  void check(long now, boolean mayClaim) {
    if (claiming) {
      return;
    }
    boolean due = !ElapsedTime.within(observedAtMillis, now, OBSERVATION_INTERVAL_MILLIS);
    if (election.wantsObservation(now) && !observing && due) {
      observe(now);
    }
    if (mayClaim) {
      election
          .claimableEnd(now, ownDelayMillis.getAsLong() + claimDelayMillis)
          .ifPresent(this::claim);
    }
  }

  private void observe(long askedAtMillis) {
    observing = true;
    observedAtMillis = OptionalLong.of(askedAtMillis);
    store
        .readJournalEnd()
        .whenComplete(
            (end, failure) -> {
              observing = false;
              if (failure == null) {
                answeredAtMillis = OptionalLong.of(nowMillis.getAsLong());
                election.observed(end, askedAtMillis, nowMillis.getAsLong());
              }
            });
  }

  private void claim(long end) {
    claiming = true;
    claimDelayMillis = drawDelay();
    long epoch = highestEpoch + 1 + random.nextInt(EPOCH_SPREAD);
    highestEpoch = epoch;
    long askedAtMillis = nowMillis.getAsLong();
    store
        .claimJournal(epoch, end)
        .whenComplete((outcome, failure) -> answered(epoch, end, askedAtMillis, outcome, failure));
  }

  private void answered(
      long epoch, long end, long askedAtMillis, AppendOutcome outcome, Throwable failure) {
    boolean successful = failure == null && outcome == AppendOutcome.STORED;
    String result = failure == null ? outcome.name() : failure.toString();
    long tookMillis = nowMillis.getAsLong() - askedAtMillis;
    log.decision("claim", "epoch-" + epoch, result, "end=" + end + " took_ms=" + tookMillis);
    metrics.election(successful ? "claimed" : "not-claimed");
    if (successful) {
      claimed.accept(epoch);
    } else {
      claiming = false;
      if (outcome == AppendOutcome.FENCED) {
        election.claimLost(nowMillis.getAsLong());
      }
    }
  }
}
