package org.cicadaford.coordinator;

import java.util.List;
import java.util.function.Predicate;
import org.cicadaford.cell.ReportedEnd;
import org.cicadaford.cell.ReportedRun;
import org.cicadaford.cell.WorkerReport;

/**
 * Checks the answers of relays, whose decoder fills in null for values that an answer lacks.
 *
 * <p>The coordinator ends when it meets one, so that an instance with an incompatible build would
 * end each coordinator.
 */
final class RelayedAnswers {

  private RelayedAnswers() {}

  static boolean isUsable(WorkerClient.StartAnswer answer) {
    return answer.outcome() != null;
  }

  /** Returns whether the answer to a renewal is complete and, if a report, of that worker. */
  static boolean isUsable(WorkerClient.RenewalAnswer answer, String workerId) {
    return answer.outcome() != null
        && (answer.outcome() != WorkerClient.RenewalOutcome.REPORTED
            || isUsable(answer.report(), workerId));
  }

  private static boolean isUsable(WorkerReport report, String workerId) {
    return report != null
        && workerId.equals(report.workerId())
        && all(report.running(), RelayedAnswers::isComplete)
        && all(report.ended(), RelayedAnswers::isComplete);
  }

  private static boolean isComplete(ReportedRun run) {
    return run.task() != null && run.checkpoint() != null;
  }

  private static boolean isComplete(ReportedEnd end) {
    return end.task() != null && end.kind() != null && end.checkpoint() != null;
  }

  private static <T> boolean all(List<T> values, Predicate<T> condition) {
    return values != null && values.stream().allMatch(v -> v != null && condition.test(v));
  }
}
