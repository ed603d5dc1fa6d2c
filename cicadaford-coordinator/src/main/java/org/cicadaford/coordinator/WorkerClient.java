package org.cicadaford.coordinator;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.concurrent.CompletableFuture;
import org.cicadaford.cell.Action;
import org.cicadaford.cell.FencingToken;
import org.cicadaford.cell.StartOutcome;
import org.cicadaford.cell.WorkerReport;

/** Sends orders to workers. Futures complete on the event loop and never exceptionally. */
public interface WorkerClient {

  /**
   * Holds the answer to a start.
   *
   * @param clockMillis the worker's clock in milliseconds, or 0 if not stated
   * @param detail the worker's message, for the log
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record StartAnswer(StartOutcome outcome, long clockMillis, String detail) {}

  /** Lists the outcomes of a renewal. */
  enum RenewalOutcome {
    /** The worker sent a report. */
    REPORTED,
    /** Another instance or incarnation uses the worker's address. */
    GONE,
    /** The worker has received a higher fencing token. */
    FENCED,
    /** No usable answer arrived. */
    NO_ANSWER
  }

  /**
   * Holds the answer to a renewal; the report is null unless the outcome is {@link
   * RenewalOutcome#REPORTED}.
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record RenewalAnswer(RenewalOutcome outcome, WorkerReport report) {

    /** Returns an answer without a report. */
    public static RenewalAnswer of(RenewalOutcome outcome) {
      return new RenewalAnswer(outcome, null);
    }

    /** Returns this answer with the time at which the renewal was sent. */
    RenewalAnswer sentAt(long sentAtMillis) {
      return report == null ? this : new RenewalAnswer(outcome, report.sentAt(sentAtMillis));
    }
  }

  /** Orders a worker to start a task. */
  CompletableFuture<StartAnswer> start(Action.StartTask order, FencingToken token);

  /** Orders a worker to stop a task; returns whether the worker confirmed it. */
  CompletableFuture<Boolean> stop(Action.StopTask order, FencingToken token);

  /** Renews a worker's lease and requests a report. */
  CompletableFuture<RenewalAnswer> renew(Action.Renew order, FencingToken token, long nowMillis);
}
