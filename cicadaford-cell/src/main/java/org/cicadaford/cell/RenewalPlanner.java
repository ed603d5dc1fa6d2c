package org.cicadaford.cell;

import java.util.ArrayList;
import java.util.List;

/** Decides when the lease of a worker is renewed, which also requests its report. */
final class RenewalPlanner {

  /** Maximum delay of a renewal while run ends are being stored, in milliseconds. */
  private static final long END_STORE_MILLIS = 500;

  /**
   * Time since the last answer after which no ends are acknowledged. It bounds how long a late
   * start of a run that was given up may remain unnoticed in an incarnation that is not known yet.
   */
  private static final long MAX_CONTACT_GAP_MILLIS = 200;

  /** Minimum time from a start order to the end of its run, in milliseconds. */
  private static final long MIN_RUN_MILLIS = 20;

  /**
   * Maximum delay of a renewal that acknowledges ends while starts are in transit, in milliseconds.
   * A start without an answer for 100 ms casts doubt on the incarnation, so each of them is newer.
   */
  private static final long MAX_ACKNOWLEDGEMENT_DELAY_MILLIS = 100;

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
    boolean endsUnstored = worker.ends().anyUnstored();
    if (!worker.ends().due() || !worker.startUnansweredFor(nowMillis, MIN_RUN_MILLIS)) {
      worker.ends().endDeferral();
    } else if (worker.ends().defer(nowMillis, MAX_ACKNOWLEDGEMENT_DELAY_MILLIS)) {
      // The answer to the start shows whether the worker has restarted.
      return false;
    }
    if (worker.ends().withheld() && incarnationCertain(worker, nowMillis)) {
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
    boolean endsUnstored = worker.ends().anyUnstored();
    boolean certain = incarnationCertain(worker, nowMillis) && startsAnswered(worker, nowMillis);
    boolean acknowledges = worker.ends().due();
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
    worker.ends().withheld(acknowledges && !certain);
    return new Action.Renew(
        worker.id(),
        worker.incarnation(),
        worker.renewalAddress(nowMillis, settings.unreachableMillis()),
        acknowledges && certain ? worker.ends().acknowledge(nowMillis) : 0,
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

  /**
   * Returns whether the worker has answered the starts of all runs that may have ended, so that an
   * incarnation that is not known yet has no ends. Answers to a row of starts, each sent before the
   * last one is answered, show this as well after a time.
   */
  private static boolean startsAnswered(Worker worker, long nowMillis) {
    return !worker.startUnansweredFor(nowMillis, MIN_RUN_MILLIS)
        || worker.ends().deferredLongerThan(nowMillis, MAX_ACKNOWLEDGEMENT_DELAY_MILLIS);
  }
}
