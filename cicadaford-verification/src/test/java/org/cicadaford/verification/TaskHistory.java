package org.cicadaford.verification;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.cicadaford.model.TaskId;
import org.cicadaford.model.TaskReport;

/** Holds the runs of each task, as the workers report them. */
final class TaskHistory {

  private final Map<TaskId, List<TaskReport>> runsByTask;

  TaskHistory(List<TaskReport> reports) {
    this.runsByTask =
        reports.stream()
            .filter(report -> report.startedAtMillis() > 0)
            .collect(Collectors.groupingBy(report -> report.lease().taskId()));
  }

  /** Returns the tasks with runs that overlap in time. */
  List<TaskId> concurrentlyRunTasks() {
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
  List<TaskId> restartedTasks() {
    return runsByTask.entrySet().stream()
        .filter(entry -> entry.getValue().size() > 1)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns the number of completed tasks. */
  long completedCount() {
    return runsByTask.values().stream()
        .filter(runs -> runs.stream().anyMatch(run -> run.state() == TaskReport.State.COMPLETED))
        .count();
  }

  /** Returns the number of running tasks. */
  long runningCount() {
    return runsByTask.values().stream()
        .filter(runs -> runs.stream().anyMatch(run -> run.state() == TaskReport.State.RUNNING))
        .count();
  }
}
