package org.cicadaford.cell;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

/** Keeps the next incarnation of a worker from carrying out orders to the earlier one. */
final class EarlierOrderGuard {

  /** Time after which an unanswered stop order is sent again, in milliseconds. */
  private static final long STOP_RETRY_MILLIS = 350;

  /**
   * Interval of the renewals to a worker that has lost contact while a start without an answer may
   * be carried out, in milliseconds. The first one to reach its next incarnation fences the start.
   */
  private static final long PROBE_INTERVAL_MILLIS = 5;

  /** Maximum number of probes in transit to a worker; a host that is down answers none of them. */
  private static final int MAX_PROBES = 4;

  /**
   * Maximum number of workers probed in an interval, 800 a second. The regular renewals of 250
   * workers are as many; 80 workers that refuse connections would get 16,000 a second.
   */
  private static final int MAX_PROBED_WORKERS = 4;

  private final CellState state;

  /** Workers to be probed, the one that was probed last at the end. */
  private final Set<Worker> lostContact = new LinkedHashSet<>();

  private OptionalLong probedAtMillis = OptionalLong.empty();

  EarlierOrderGuard(CellState state) {
    this.state = state;
  }

  /** Records that a worker may have restarted; it gets no start until it has answered. */
  void doubtIncarnation(Worker worker) {
    worker.incarnations().doubt(state.events().next());
    state.requestImmediateReport(worker);
    state.markChanged(worker);
  }

  /**
   * Records that an answer shows a restart without the time of it. The report that is requested now
   * carries a higher token, so that the worker refuses what is still in transit to its earlier
   * incarnation.
   */
  void restartDetected(Worker worker) {
    worker.incarnations().raiseToken();
    doubtIncarnation(worker);
  }

  /** Records a failed renewal; {@code gone} means that another worker has the address. */
  void renewalFailed(Worker worker, boolean gone) {
    worker.incarnations().doubt(state.events().next());
    if (worker.failedRenewals() == 1) {
      // A delayed renewal in transit cannot end the doubt, and its answer may take seconds.
      state.requestImmediateReport(worker);
      if (worker.clock().known()) {
        worker.incarnations().raiseToken();
        lostContact.add(worker);
      }
    }
    if (gone) {
      lostContact.remove(worker);
    }
  }

  /** Returns whether workers are to be contacted at short intervals. */
  boolean probing() {
    return !lostContact.isEmpty();
  }

  /** Contacts the workers that have lost contact and may carry out a start without an answer. */
  void probe(long nowMillis) {
    long lateOrderMillis = state.settings().lateOrderMillis();
    lostContact.removeIf(
        worker ->
            !worker.incarnations().inDoubt()
                || worker.listing() == null
                || state.workers().get(worker.id()) != worker
                || !worker.earlierOrders().unanswered(nowMillis, lateOrderMillis));
    if (ElapsedTime.within(probedAtMillis, nowMillis, PROBE_INTERVAL_MILLIS - 1)) {
      return;
    }
    List<Worker> due =
        lostContact.stream()
            .filter(worker -> worker.renewalsInFlight() < MAX_PROBES)
            .filter(worker -> !worker.renewalSentWithin(nowMillis, PROBE_INTERVAL_MILLIS - 1))
            .limit(MAX_PROBED_WORKERS)
            .toList();
    for (Worker worker : due) {
      probedAtMillis = OptionalLong.of(nowMillis);
      state.requestImmediateReport(worker);
      lostContact.remove(worker);
      lostContact.add(worker);
    }
  }

  /** Returns whether a worker may come back while orders to it are in transit. */
  boolean mayExecuteOrders(Worker worker, long nowMillis) {
    long lateOrderMillis = state.settings().lateOrderMillis();
    return worker.earlierOrders().inTransit(nowMillis, lateOrderMillis)
        || worker.renewalSentWithin(nowMillis, lateOrderMillis);
  }

  /** Sends the stops that are due of runs ordered from the earlier incarnation. */
  void stopEarlierOrders(Worker worker, long nowMillis) {
    if (worker.listing() != null && worker.earlierOrders().mayStart()) {
      long lateOrderMillis = state.settings().lateOrderMillis();
      for (EarlierOrders.Run run :
          worker.earlierOrders().takeDue(nowMillis, STOP_RETRY_MILLIS, lateOrderMillis)) {
        state.sendStop(worker, run.task(), run.number(), StopReason.UNCERTAIN);
      }
    }
  }
}
