package org.cicadaford.coordinator;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.concurrent.CompletableFuture;
import org.cicadaford.cell.Action;
import org.cicadaford.cell.StartOutcome;
import org.cicadaford.cell.WorkerReport;

/** Sends orders to workers; futures complete on the event loop and never exceptionally. */
public interface WorkerClient {

  /**
   * Answer to a start.
   *
   * @param clockMillis the worker's clock in milliseconds, or 0 if it was not stated
   * @param detail what the worker said, for the log
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
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

  /** Answer to a renewal; the report is null but with {@link RenewalOutcome#REPORTED}. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record RenewalAnswer(RenewalOutcome outcome, WorkerReport report) {

    /** Returns an answer without a report. */
    public static RenewalAnswer of(RenewalOutcome outcome) {
      return new RenewalAnswer(outcome, null);
    }

    /** Returns the same answer, as one to a renewal that was sent at another time. */
    RenewalAnswer sentAt(long sentAtMillis) {
      return report == null ? this : new RenewalAnswer(outcome, report.sentAt(sentAtMillis));
    }
  }

  /** Orders a start. */
  CompletableFuture<StartAnswer> start(Action.StartTask order, long epoch);

  /** Orders a stop; returns whether the worker has confirmed it. */
  CompletableFuture<Boolean> stop(Action.StopTask order, long epoch);

  /** Renews a lease. */
  CompletableFuture<RenewalAnswer> renew(Action.Renew order, long epoch, long nowMillis);
}
