package org.cicadaford.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.cicadaford.model.WorkerCommand;
import org.cicadaford.model.WorkerCommand.Lease;

/**
 * Renews the leases of each worker once per interval, at times that are spread evenly over workers.
 */
final class RenewalPlanner {

  /** Time in which a new owner asks all workers for the first time, in milliseconds. */
  private static final long ADOPTION_MILLIS = 2_000;

  /** Remaining time of a lease at which it is renewed before the worker's turn, in milliseconds. */
  private static final long EARLY_MILLIS = 1_500;

  /** Time after which a worker is asked about a start that it did not answer, in milliseconds. */
  private static final long START_ANSWER_MILLIS = 500;

  /** Least time between two renewals of a worker, in milliseconds. */
  private static final long LEAST_GAP_MILLIS = 400;

  /** Time after which a renewal counts as not answered, in milliseconds. */
  private static final long ANSWER_MILLIS = 2_000;

  private static final int HASH_MULTIPLIER = 0x9E3779B9;

  private final LeaseTable leases;
  private final OwnerSettings settings;
  private final long epochStartMillis;

  RenewalPlanner(LeaseTable leases, OwnerSettings settings, long epochStartMillis) {
    this.leases = leases;
    this.settings = settings;
    this.epochStartMillis = epochStartMillis;
  }

  Optional<WorkerOrder> decide(
      KeeperRound round, String workerId, Collection<TaskStatus> committedTasks) {
    WorkerContact contact = leases.contact(workerId);
    if (!isDue(round, workerId, contact, committedTasks)) {
      return Optional.empty();
    }
    boolean probe = isProbe(round, contact);
    long untilMillis = round.nowMillis() + settings.leaseMillis();
    List<Lease> renewed = new ArrayList<>();
    for (TaskStatus task : committedTasks) {
      if (!probe && isRenewable(round, task)) {
        leases.entry(task).grant(untilMillis);
        renewed.add(KeeperRound.leaseOf(task));
      }
    }
    contact.renewedAtMillis = round.nowMillis();
    contact.lastRenewalWasProbe = probe;
    contact.dueAtMillis = nextTurnMillis(workerId, round.nowMillis());
    return Optional.of(new WorkerOrder(workerId, new WorkerCommand.Renew(renewed, untilMillis)));
  }

  /**
   * Returns whether the worker is only asked for reports. A worker that does not answer gets no
   * further leases, so that there is a last one after which its tasks have certainly ended.
   */
  private static boolean isProbe(KeeperRound round, WorkerContact contact) {
    boolean unanswered =
        contact.isRenewalOpen() && round.nowMillis() - contact.renewedAtMillis >= ANSWER_MILLIS;
    return contact.unreachable || unanswered;
  }

  private boolean isDue(
      KeeperRound round,
      String workerId,
      WorkerContact contact,
      Collection<TaskStatus> committedTasks) {
    long nowMillis = round.nowMillis();
    if (contact.dueAtMillis == 0) {
      contact.dueAtMillis = firstTurnMillis(workerId, nowMillis);
    }
    if (nowMillis >= contact.dueAtMillis) {
      return true;
    }
    if (contact.unreachable || nowMillis - contact.renewedAtMillis < LEAST_GAP_MILLIS) {
      return false;
    }
    boolean recovered = contact.lastRenewalWasProbe && !contact.isRenewalOpen();
    return recovered || committedTasks.stream().anyMatch(task -> isEarly(round, contact, task));
  }

  private boolean isEarly(KeeperRound round, WorkerContact contact, TaskStatus task) {
    LeaseEntry entry = leases.entry(task);
    if (entry.report == null) {
      return entry.startSentAtMillis > 0
          && !entry.absent
          && !contact.isRenewalOpen()
          && round.nowMillis() >= entry.startSentAtMillis + START_ANSWER_MILLIS;
    }
    return isRenewable(round, task) && entry.grantedUntilMillis <= round.nowMillis() + EARLY_MILLIS;
  }

  private boolean isRenewable(KeeperRound round, TaskStatus task) {
    LeaseEntry entry = leases.entry(task);
    boolean presumed = round.isAdopted(task) && entry.report == null && !entry.absent;
    return (entry.isRunning() || presumed)
        && round.isWanted(task)
        && !entry.endDecided
        && entry.stopSentAtMillis == 0
        && leases.isWithinGrace(round, round.descriptionOf(task).kind());
  }

  private long firstTurnMillis(String workerId, long nowMillis) {
    long turn = turnMillis(workerId) * ADOPTION_MILLIS / settings.renewIntervalMillis();
    return Math.max(nowMillis, epochStartMillis + turn);
  }

  private long nextTurnMillis(String workerId, long nowMillis) {
    long intervalMillis = settings.renewIntervalMillis();
    long sinceTurn =
        Math.floorMod(nowMillis - epochStartMillis - turnMillis(workerId), intervalMillis);
    return nowMillis + intervalMillis - sinceTurn;
  }

  private long turnMillis(String workerId) {
    int mixed = workerId.hashCode() * HASH_MULTIPLIER;
    return Integer.toUnsignedLong(mixed) % settings.renewIntervalMillis();
  }
}
