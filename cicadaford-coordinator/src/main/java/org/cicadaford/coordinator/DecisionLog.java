package org.cicadaford.coordinator;

import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.cell.Action;
import org.cicadaford.cell.AdmissionDecision;

/**
 * Writes one line for each decision, at a bounded rate.
 *
 * <p>Lines over the rate are counted and dropped, so that logging never slows the decisions down.
 */
public final class DecisionLog {

  private static final Logger LOGGER = LogManager.getLogger("org.cicadaford.decision");

  /** Lines a second that are written; a coordinator of 260 workers makes up to 1,200 decisions. */
  private static final int LINES_PER_SECOND = 1_500;

  private final CellMetrics metrics;
  private final LongSupplier nowMillis;
  private long secondStartMillis;
  private int linesInSecond;

  /** Creates the log; {@code nowMillis} gives the steady time in milliseconds. */
  public DecisionLog(CellMetrics metrics, LongSupplier nowMillis) {
    this.metrics = metrics;
    this.nowMillis = nowMillis;
  }

  /**
   * Writes a decision on a request.
   *
   * @param category what kind of decision, for example {@code start}
   * @param id id of the job or task that it touches
   * @param outcome what was decided
   * @param inputs what decided it, with versions or ages, as {@code name=value} pairs
   */
  public void decision(String category, String id, String outcome, String inputs) {
    if (permitted(category)) {
      LOGGER.info("{} id={} outcome={} {}", category, id, outcome, inputs);
    }
  }

  /** Writes that a submission is refused. */
  void refused(String jobId, String queue, String team, AdmissionDecision.Refused refused) {
    decision(
        "refuse",
        jobId,
        "refused",
        "queue="
            + queue
            + " team="
            + team
            + " retry_after_ms="
            + refused.retryAfterMillis()
            + " reason="
            + refused.reason());
  }

  /** Writes that the end of a job is stored, and what its steps have waited for. */
  void ended(Action.ReportJobEnd end, long epoch) {
    decision(
        "end",
        end.jobId(),
        end.phase().name(),
        "age_ms="
            + end.ageMillis()
            + " objective_ms="
            + end.objectiveMillis()
            + " waited_ms="
            + end.waited()
            + " queue="
            + end.queue()
            + " team="
            + end.team()
            + " epoch="
            + epoch);
  }

  private boolean permitted(String category) {
    long now = nowMillis.getAsLong();
    if (now - secondStartMillis >= 1_000) {
      secondStartMillis = now;
      linesInSecond = 0;
    }
    linesInSecond++;
    if (linesInSecond > LINES_PER_SECOND) {
      metrics.logLineDropped(category);
      return false;
    }
    return true;
  }
}
