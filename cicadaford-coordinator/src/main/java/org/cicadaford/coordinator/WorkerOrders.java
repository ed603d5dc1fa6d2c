package org.cicadaford.coordinator;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cicadaford.cell.Action;
import org.cicadaford.cell.StartOutcome;
import org.cicadaford.cell.WorkerReport;

/** Sends orders to workers; futures complete on the event loop and never exceptionally. */
public interface WorkerOrders {

  /**
   * Answer to a start.
   *
   * @param clockMillis the worker's clock in milliseconds, or 0 if it was not stated
   * @param detail what the worker said, for the log
   */
  record StartAnswer(StartOutcome outcome, long clockMillis, String detail) {}

  /** Kinds of answers to a renewal. */
  enum RenewalOutcome {
    /** The worker has reported. */
    REPORTED,
    /** Another instance, or another incarnation, has the address. */
    GONE,
    /** The worker follows a coordinator with a higher epoch. */
    FENCED,
    /** No usable answer came. */
    NO_ANSWER
  }

  /** Answer to a renewal; a report comes only with {@link RenewalOutcome#REPORTED}. */
  record RenewalAnswer(RenewalOutcome outcome, Optional<WorkerReport> report) {}

  /** Orders a start. */
  CompletableFuture<StartAnswer> start(Action.StartTask order, long epoch);

  /** Orders a stop; returns whether the worker has confirmed it. */
  CompletableFuture<Boolean> stop(Action.StopTask order, long epoch);

  /** Renews a lease. */
  CompletableFuture<RenewalAnswer> renew(Action.Renew order, long epoch, long nowMillis);
}
