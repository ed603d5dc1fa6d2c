package org.cicadaford.coordinator;

import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cicadaford.cell.ClockReading;
import org.cicadaford.cell.ElapsedTime;
import org.cicadaford.cell.FencingToken;

/**
 * Observes the journal while the coordinator is not heard from, and claims it when {@link
 * ElectionPolicy} allows.
 */
final class CoordinatorCandidate {

  /** Is notified of a successful claim. */
  interface ClaimListener {

    /** Handles a claim that was sent at a time and has been stored. */
    void claimed(long epoch, ClockReading sentAt);
  }

  /**
   * Minimum delay of a claim, in milliseconds. A claim is announced within about 30 ms, so an
   * instance that first read the journal just after the claim learns of it in time.
   */
  static final int MIN_CLAIM_DELAY_MILLIS = 30;

  /**
   * Maximum random delay added to a claim, in milliseconds. An append takes the store 4 ms, so the
   * first claim is usually announced before the others are sent; those are rejected.
   */
  private static final int CLAIM_DELAY_JITTER_MILLIS = 60;

  /**
   * Range of the random increment of an epoch, which keeps two claims from using the same epoch.
   * With a range of 64, two instances that started together shared an epoch on 5 of 80 simulated
   * days.
   */
  private static final int EPOCH_JITTER = 1 << 20;

  /**
   * Minimum interval between reads of the journal's end, in milliseconds; each one costs a store
   * call.
   */
  private static final long OBSERVATION_INTERVAL_MILLIS = 50;

  /** Age of the last observation up to which the store counts as responsive, in milliseconds. */
  private static final long STORE_RESPONSIVE_MILLIS = 200;

  private final CellStore store;
  private final Supplier<ClockReading> clock;
  private final CellMetrics metrics;
  private final DecisionLog log;
  private final ClaimListener onClaimed;
  private final Consumer<JournalTail> onObserved;
  private final ElectionPolicy electionPolicy = new ElectionPolicy();
  private final Random random = new Random();
  private boolean observing;
  private OptionalLong observationStartedAtMillis = OptionalLong.empty();
  private OptionalLong observationEndedAtMillis = OptionalLong.empty();
  private boolean claiming;
  private final LongSupplier instanceDelayMillis;
  private long claimDelayMillis;
  private long highestEpoch;

  /**
   * Creates a candidate.
   *
   * @param instanceDelayMillis returns the delay of this instance's claims
   * @param onClaimed is notified of a successful claim
   * @param onObserved receives each observation of the journal
   */
  CoordinatorCandidate(
      CellStore store,
      Supplier<ClockReading> clock,
      CellMetrics metrics,
      DecisionLog log,
      LongSupplier instanceDelayMillis,
      ClaimListener onClaimed,
      Consumer<JournalTail> onObserved) {
    this.store = store;
    this.clock = clock;
    this.metrics = metrics;
    this.log = log;
    this.onClaimed = onClaimed;
    this.onObserved = onObserved;
    this.instanceDelayMillis = instanceDelayMillis;
    this.claimDelayMillis = randomClaimDelayMillis();
  }

  private long nowMillis() {
    return clock.get().monotonicMillis();
  }

  private long randomClaimDelayMillis() {
    return MIN_CLAIM_DELAY_MILLIS + random.nextInt(CLAIM_DELAY_JITTER_MILLIS);
  }

  ElectionPolicy electionPolicy() {
    return electionPolicy;
  }

  void observeEpoch(long epoch) {
    highestEpoch = Math.max(highestEpoch, epoch);
  }

  long highestEpoch() {
    return highestEpoch;
  }

  /** Marks the claim as finished, whether or not this instance became the coordinator. */
  void finishClaim() {
    claiming = false;
  }

  /**
   * Returns whether another coordinator is expected soon: the role may be vacant, and the store
   * responds, so that some instance can claim it.
   */
  boolean isTakeoverExpected(long now) {
    return isSearching(now)
        && ElapsedTime.within(observationEndedAtMillis, now, STORE_RESPONSIVE_MILLIS);
  }

  /** Returns whether the role may have to be claimed soon. */
  boolean isSearching(long now) {
    return claiming || electionPolicy.shouldObserveJournal(now);
  }

  /**
   * Observes the journal and claims it, if due.
   *
   * @param mayClaim whether this instance may become the coordinator; it observes the journal in
   *     any case
   */
  void check(long now, boolean mayClaim) {
    if (claiming) {
      return;
    }
    boolean due = !ElapsedTime.within(observationStartedAtMillis, now, OBSERVATION_INTERVAL_MILLIS);
    if (electionPolicy.shouldObserveJournal(now) && !observing && due) {
      observe(now);
    }
    if (mayClaim) {
      electionPolicy
          .claimableEnd(now, instanceDelayMillis.getAsLong() + claimDelayMillis)
          .ifPresent(this::claim);
    }
  }

  private void observe(long requestedAtMillis) {
    observing = true;
    observationStartedAtMillis = OptionalLong.of(requestedAtMillis);
    store
        .readJournalTail()
        .whenComplete(
            (tail, failure) -> {
              observing = false;
              if (failure == null) {
                observationEndedAtMillis = OptionalLong.of(nowMillis());
                electionPolicy.recordJournalEnd(tail.end(), requestedAtMillis, nowMillis());
                onObserved.accept(tail);
              }
            });
  }

  private void claim(long end) {
    claiming = true;
    claimDelayMillis = randomClaimDelayMillis();
    long epoch = highestEpoch + FencingToken.COUNT_PER_EPOCH + random.nextInt(EPOCH_JITTER);
    highestEpoch = epoch;
    ClockReading requestedAt = clock.get();
    store
        .claimJournal(epoch, end)
        .whenComplete(
            (outcome, failure) -> handleClaimResult(epoch, end, requestedAt, outcome, failure));
  }

  private void handleClaimResult(
      long epoch, long end, ClockReading requestedAt, AppendOutcome outcome, Throwable failure) {
    boolean successful = failure == null && outcome == AppendOutcome.STORED;
    String result = failure == null ? outcome.name() : failure.toString();
    long tookMillis = nowMillis() - requestedAt.monotonicMillis();
    log.write("claim", "epoch-" + epoch, result, "end=" + end + " took_ms=" + tookMillis);
    metrics.recordElectionEvent(successful ? "claimed" : "not-claimed");
    if (successful) {
      onClaimed.claimed(epoch, requestedAt);
    } else {
      claiming = false;
      if (outcome == AppendOutcome.FENCED) {
        electionPolicy.recordLostClaim(nowMillis());
      }
    }
  }
}
