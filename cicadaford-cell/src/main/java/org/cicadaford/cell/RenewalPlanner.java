package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.List;

/** Decides when the lease of a worker is renewed, which also requests its report. */
final class RenewalPlanner {

  /** Maximum delay of a renewal while run ends are being stored, in milliseconds. */
  private static final long END_STORE_MILLIS = 500;

  /**
   * Time since the last answer after which a worker may have restarted without a failed renewal, as
   * none was in transit. A process takes longer than this to restart.
   */
  private static final long MAX_CONTACT_GAP_MILLIS = 200;

  private final CellState state;

  RenewalPlanner(CellState state) {
    this.state = state;
  }

  /** Returns the renewals that are due for the given workers. */
  List<Action.Renew> dueRenewals(List<Worker> workers, ClockReading now) {
    List<Action.Renew> due = new ArrayList<>();
    for (Worker worker : workers) {
      boolean listed = worker.listed() || worker.incarnations().lowerListing() != null;
      boolean vacant = worker.placements().isEmpty() && worker.unplacedRuns().isEmpty();
      // A worker that is down may leave the list before its next incarnation enters it.
      boolean requested = worker.immediateReportRequested();
      boolean monitored = listed || worker.listing() != null && (!vacant || requested);
      if (monitored && renewalDue(worker, now.monotonicMillis())) {
        due.add(renewal(worker, now));
      }
    }
    return due;
  }

  private boolean renewalDue(Worker worker, long nowMillis) {
    if (worker.immediateReportRequested()) {
      return true;
    }
    if (worker.renewalInFlight() || worker.renewalNotDue(nowMillis)) {
      return false;
    }
    boolean endsUnstored = worker.storedEnd() < worker.processedEnd();
    if (worker.acknowledgementWithheld() && incarnationCertain(worker, nowMillis)) {
      // While the store is slow, new ends may be unstored whenever the worker has just answered.
      return true;
    }
    // Run ends that are not stored yet would be reported again immediately.
    return !endsUnstored || worker.renewalOverdue(nowMillis, END_STORE_MILLIS);
  }

  private Action.Renew renewal(Worker worker, ClockReading now) {
    long nowMillis = now.monotonicMillis();
    CoordinatorSettings settings = state.settings();
    boolean responsive = worker.clock().known() && worker.failedRenewals() == 0;
    boolean endsUnstored = worker.storedEnd() < worker.processedEnd();
    boolean certain = incarnationCertain(worker, nowMillis);
    boolean mayWait = responsive && certain && !endsUnstored && !worker.immediateReportRequested();
    long waitMillis = mayWait ? settings.renewalWaitMillis() : 0;
    long deadlineMillis = 0;
    long leaseMillis = state.grantableLeaseMillis(now);
    if (responsive && leaseMillis > 0) {
      // The lease of a worker that does not answer is not extended, so that it expires.
      deadlineMillis = worker.clock().at(nowMillis) + leaseMillis;
      worker.deadlineSent(deadlineMillis, settings.maxClockSlowdown());
    }
    worker.renewalSent(nowMillis, nowMillis + waitMillis);
    worker.acknowledgementWithheld(!certain && worker.storedEnd() > 0);
    return new Action.Renew(
        worker.id(),
        worker.incarnation(),
        worker.renewalAddress(nowMillis, settings.unreachableMillis()),
        certain ? worker.storedEnd() : 0,
        deadlineMillis,
        waitMillis,
        waitMillis + settings.answerMillis());
  }

  /**
   * Returns whether a renewal reaches the incarnation whose ends it acknowledges. Ends are numbered
   * anew in each incarnation, so it would remove unread ends of the next one.
   */
  private static boolean incarnationCertain(Worker worker, long nowMillis) {
    return !worker.incarnations().inDoubt()
        && !worker.incarnations().mayBeLower(worker.lastAnswerAtMillis())
        && worker.answeredWithin(nowMillis, MAX_CONTACT_GAP_MILLIS);
  }
}
