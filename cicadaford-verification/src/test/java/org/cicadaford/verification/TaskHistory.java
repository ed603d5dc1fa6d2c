package org.cicadaford.verification;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.cicadaford.model.TaskId;
import org.cicadaford.model.TaskReport;

/** What the workers report of when tasks ran. */
final class TaskHistory {

  private final Map<TaskId, List<TaskReport>> runsByTask;

  TaskHistory(List<TaskReport> reports) {
    this.runsByTask =
        reports.stream()
            .filter(report -> report.startedAtMillis() > 0)
            .collect(Collectors.groupingBy(report -> report.lease().taskId()));
  }

  /** Returns the tasks that ran in two places at the same time. */
  List<TaskId> tasksInTwoPlaces() {
    return runsByTask.entrySet().stream()
        .filter(entry -> overlaps(entry.getValue()))
        .map(Map.Entry::getKey)
        .toList();
  }

  private static boolean overlaps(List<TaskReport> runs) {
    List<TaskReport> byStart =
        runs.stream().sorted(Comparator.comparingLong(TaskReport::startedAtMillis)).toList();
    for (int next = 1; next < byStart.size(); next++) {
      long endedAtMillis = byStart.get(next - 1).endedAtMillis();
      if (endedAtMillis == 0 || endedAtMillis > byStart.get(next).startedAtMillis()) {
        return true;
      }
    }
    return false;
  }

  /** Returns the tasks that started more than once. */
  List<TaskId> tasksStartedAgain() {
    return runsByTask.entrySet().stream()
        .filter(entry -> entry.getValue().size() > 1)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns the number of tasks that ran to their end. */
  long completedCount() {
    return runsByTask.values().stream()
        .filter(runs -> runs.stream().anyMatch(run -> run.state() == TaskReport.State.COMPLETED))
        .count();
  }

  /** Returns the number of tasks that run now. */
  long runningCount() {
    return runsByTask.values().stream()
        .filter(runs -> runs.stream().anyMatch(run -> run.state() == TaskReport.State.RUNNING))
        .count();
  }
}
