package org.cicadaford.cell;

/** Keeps the next incarnation of a worker from carrying out orders to the earlier one. */
final class EarlierOrderGuard {

  /** Time after which an unanswered stop order is sent again, in milliseconds. */
  private static final long STOP_RETRY_MILLIS = 350;

  private final CellState state;

  EarlierOrderGuard(CellState state) {
    this.state = state;
  }

  /** Records that a worker may have restarted; it gets no start until it has answered. */
  void doubtIncarnation(Worker worker) {
    worker.incarnations().doubt(state.events().next());
    state.requestImmediateReport(worker);
    state.markChanged(worker);
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
