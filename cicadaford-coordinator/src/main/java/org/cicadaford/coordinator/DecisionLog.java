package org.cicadaford.coordinator;

import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.cicadaford.cell.Action;
import org.cicadaford.cell.AdmissionDecision;

/**
 * Writes one log line per decision, at a limited rate.
 *
 * <p>Lines above the limit are counted and dropped, so that logging never slows down decisions.
 */
public final class DecisionLog {

  private static final Logger LOGGER = LogManager.getLogger("org.cicadaford.decision");

  /**
   * Maximum number of lines per second; a coordinator of 260 workers makes up to 1,200 decisions
   * per second.
   */
  private static final int LINES_PER_SECOND = 1_500;

  private final CellMetrics metrics;
  private final LongSupplier nowMillis;
  private long secondStartMillis;
  private int linesInSecond;

  /** Creates the log; {@code nowMillis} returns the monotonic time in milliseconds. */
  public DecisionLog(CellMetrics metrics, LongSupplier nowMillis) {
    this.metrics = metrics;
    this.nowMillis = nowMillis;
  }

  /**
   * Writes a decision.
   *
   * @param category kind of decision, for example {@code start}
   * @param id id of the job, task or request
   * @param outcome outcome of the decision
   * @param inputs inputs to the decision, with versions or ages, as {@code name=value} pairs
   */
  public void write(String category, String id, String outcome, String inputs) {
    if (acquireLine(category)) {
      LOGGER.info("{} id={} outcome={} {}", category, id, outcome, inputs);
    }
  }

  /** Writes the refusal of a submission. */
  void writeRefusal(String jobId, String queue, String team, AdmissionDecision.Refused refusal) {
    write(
        "refuse",
        jobId,
        "refused",
        "queue="
            + queue
            + " team="
            + team
            + " retry_after_ms="
            + refusal.retryAfterMillis()
            + " reason="
            + refusal.reason());
  }

  /** Writes the stored end of a job and the time its steps waited for each cause. */
  void writeJobEnd(Action.ReportJobEnd end, long epoch) {
    write(
        "end",
        end.jobId(),
        end.phase().name(),
        "age_ms="
            + end.ageMillis()
            + " objective_ms="
            + end.objectiveMillis()
            + " waited_ms="
            + end.waited()
            + " phases_ms="
            + end.phases()
            + " queue="
            + end.queue()
            + " team="
            + end.team()
            + " epoch="
            + epoch);
  }

  /** Writes the end of a run that did not complete its task. */
  void writeLostRun(Action.ReportLostRun lost) {
    write(
        "lost",
        lost.task(),
        lost.cause(),
        "run="
            + lost.run()
            + " worker="
            + lost.workerId()
            + " ran_ms="
            + lost.ranMillis()
            + " lost_core_ms="
            + lost.lostCoreMillis());
  }

  private boolean acquireLine(String category) {
    long now = nowMillis.getAsLong();
    if (now - secondStartMillis >= 1_000) {
      secondStartMillis = now;
      linesInSecond = 0;
    }
    linesInSecond++;
    if (linesInSecond > LINES_PER_SECOND) {
      metrics.recordDroppedLogLine(category);
      return false;
    }
    return true;
  }
}
