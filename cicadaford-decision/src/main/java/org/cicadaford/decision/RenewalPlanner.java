package org.cicadaford.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.cicadaford.model.WorkerCommand;
import org.cicadaford.model.WorkerCommand.Lease;

/**
 * Renews the leases of each worker once per interval, with the workers spread evenly over the
 * interval.
 */
final class RenewalPlanner {

  /** Time within which a new owner sends the first renewal to all workers, in milliseconds. */
  private static final long FIRST_RENEWAL_SPREAD_MILLIS = 2_000;

  /**
   * Remaining lease time at which a lease is renewed before the worker's regular renewal, in
   * milliseconds.
   */
  private static final long EARLY_RENEWAL_MILLIS = 1_500;

  /** Time after which a worker is asked about an unanswered start, in milliseconds. */
  private static final long START_ANSWER_TIMEOUT_MILLIS = 500;

  /**
   * Time after the declared run time at which the worker is asked for the result, in milliseconds.
   */
  private static final long EXPECTED_END_MARGIN_MILLIS = 100;

  /** Minimum time between two renewals of a worker, in milliseconds. */
  private static final long MIN_RENEWAL_GAP_MILLIS = 400;

  /** Time after which a renewal is considered unanswered, in milliseconds. */
  private static final long RENEWAL_ANSWER_TIMEOUT_MILLIS = 2_000;

  private static final int HASH_MULTIPLIER = 0x9E3779B9;

  private final LeaseTable leases;
  private final OwnerSettings settings;
  private final long epochStartMillis;

  RenewalPlanner(LeaseTable leases, OwnerSettings settings, long epochStartMillis) {
    this.leases = leases;
    this.settings = settings;
    this.epochStartMillis = epochStartMillis;
  }

  Optional<AddressedCommand> decide(
      ReconcileRound round, String workerId, Collection<TaskStatus> committedTasks) {
    WorkerLeaseState workerState = leases.workerState(workerId);
    if (!isDue(round, workerId, workerState, committedTasks)) {
      return Optional.empty();
    }
    boolean probe = isProbe(round, workerState);
    long untilMillis = round.nowMillis() + settings.leaseMillis();
    List<Lease> renewed = new ArrayList<>();
    for (TaskStatus task : committedTasks) {
      if (!probe && isRenewable(round, task)) {
        leases.entry(task).grant(untilMillis);
        renewed.add(ReconcileRound.leaseOf(task));
      }
    }
    workerState.renewedAtMillis = round.nowMillis();
    workerState.lastRenewalWasProbe = probe;
    workerState.dueAtMillis = nextRenewalMillis(workerId, round.nowMillis());
    return Optional.of(
        new AddressedCommand(workerId, new WorkerCommand.Renew(renewed, untilMillis)));
  }

  /**
   * Returns whether the renewal only asks for reports. A worker that does not answer gets no
   * further leases, so that its tasks have certainly ended once the last one expires.
   */
  private static boolean isProbe(ReconcileRound round, WorkerLeaseState workerState) {
    boolean unanswered =
        workerState.isRenewalUnanswered()
            && round.nowMillis() - workerState.renewedAtMillis >= RENEWAL_ANSWER_TIMEOUT_MILLIS;
    return workerState.unreachable || unanswered;
  }

  private boolean isDue(
      ReconcileRound round,
      String workerId,
      WorkerLeaseState workerState,
      Collection<TaskStatus> committedTasks) {
    long nowMillis = round.nowMillis();
    if (workerState.dueAtMillis == 0) {
      workerState.dueAtMillis = firstRenewalMillis(workerId, nowMillis);
    }
    if (nowMillis >= workerState.dueAtMillis) {
      return true;
    }
    if (workerState.unreachable
        || nowMillis - workerState.renewedAtMillis < MIN_RENEWAL_GAP_MILLIS) {
      return false;
    }
    boolean recovered = workerState.lastRenewalWasProbe && !workerState.isRenewalUnanswered();
    return recovered
        || committedTasks.stream().anyMatch(task -> needsEarlyRenewal(round, workerState, task));
  }

  private boolean needsEarlyRenewal(
      ReconcileRound round, WorkerLeaseState workerState, TaskStatus task) {
    LeaseEntry entry = leases.entry(task);
    if (entry.report == null) {
      return entry.startSentAtMillis > 0
          && !entry.absent
          && !workerState.isRenewalUnanswered()
          && round.nowMillis() >= entry.startSentAtMillis + START_ANSWER_TIMEOUT_MILLIS;
    }
    return isRenewable(round, task)
        && (hasFirstLease(entry)
            || hasShortLease(round, entry)
            || isEndExpected(round, task, entry));
  }

  /**
   * Returns whether the task still runs under the lease of its start. That lease is short: if this
   * owner failed now, a new one could not renew it in time.
   */
  private static boolean hasFirstLease(LeaseEntry entry) {
    return entry.startSentAtMillis > 0 && entry.grantedUntilMillis <= entry.startLeaseUntilMillis;
  }

  private static boolean hasShortLease(ReconcileRound round, LeaseEntry entry) {
    return entry.grantedUntilMillis <= round.nowMillis() + EARLY_RENEWAL_MILLIS;
  }

  /**
   * Returns whether the task should have ended since the last report, by its declared run time.
   * Renewing now reports the end without waiting for the worker's regular renewal.
   */
  private static boolean isEndExpected(ReconcileRound round, TaskStatus task, LeaseEntry entry) {
    long runMillis = round.descriptionOf(task).expectedRunMillis();
    if (runMillis == 0 || entry.startSentAtMillis == 0) {
      return false;
    }
    long endMillis = entry.startSentAtMillis + runMillis + EXPECTED_END_MARGIN_MILLIS;
    return round.nowMillis() >= endMillis && entry.reportReceivedAtMillis < endMillis;
  }

  /**
   * Returns the time until which a worker needs no command because all its tasks run as recorded
   * and no lease is about to expire, or 0 if that is unknown.
   */
  long idleUntilMillis(
      ReconcileRound round, WorkerLeaseState workerState, Collection<TaskStatus> committedTasks) {
    long untilMillis = workerState.dueAtMillis;
    if (workerState.entries.size() != committedTasks.size()) {
      return 0;
    }
    for (TaskStatus task : committedTasks) {
      if (!isRenewable(round, task)) {
        return 0;
      }
      untilMillis =
          Math.min(untilMillis, leases.entry(task).grantedUntilMillis - EARLY_RENEWAL_MILLIS);
    }
    return untilMillis;
  }

  private boolean isRenewable(ReconcileRound round, TaskStatus task) {
    LeaseEntry entry = leases.entry(task);
    boolean presumedRunning =
        round.isFromEarlierOwner(task) && entry.report == null && !entry.absent;
    return (entry.isRunning() || presumedRunning)
        && round.shouldRun(task)
        && !entry.endDecided
        && entry.stopSentAtMillis == 0
        && leases.isWithinGrace(round, round.descriptionOf(task).kind());
  }

  private long firstRenewalMillis(String workerId, long nowMillis) {
    long offsetMillis =
        renewalOffsetMillis(workerId)
            * FIRST_RENEWAL_SPREAD_MILLIS
            / settings.renewIntervalMillis();
    return Math.max(nowMillis, epochStartMillis + offsetMillis);
  }

  private long nextRenewalMillis(String workerId, long nowMillis) {
    long intervalMillis = settings.renewIntervalMillis();
    long sinceRegularRenewal =
        Math.floorMod(nowMillis - epochStartMillis - renewalOffsetMillis(workerId), intervalMillis);
    return nowMillis + intervalMillis - sinceRegularRenewal;
  }

  private long renewalOffsetMillis(String workerId) {
    int mixedHash = workerId.hashCode() * HASH_MULTIPLIER;
    return Integer.toUnsignedLong(mixedHash) % settings.renewIntervalMillis();
  }
}
