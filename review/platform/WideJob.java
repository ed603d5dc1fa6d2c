package org.cicadaford.adapter.standin;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** One tenant hands in one wide job; another tenant's jobs run at that time. */
final class WideJob {
  private static final int TASKS = 5_000;
  private static final int CORE_MILLIS = 100;
  private static final int TASK_MILLIS = 3_000;
  private static final int SMALL_JOBS = 10;
  private static final int SMALL_TASK_MILLIS = 60_000;

  /** Number of tasks of a job without the disruption. */
  private static final int USUAL_TASKS = 50;

  private static final int USUAL_GAP_MILLIS = 50;
  private static final int RETRIES = 4;
  private static final int RETRY_MILLIS = 1_000;
  private static final int FINISH_MILLIS = 14_000;
  private static final int WATCH_MILLIS = 3_000;

  private WideJob() {}

  static boolean run(Record record, Path root, boolean trouble) throws Exception {
    try (Cell cell = new Cell(record, root, 8, 33)) {
      cell.start();
      List<Instance> instances = cell.instances();
      List<String> accepted = new ArrayList<>();
      for (int i = 0; i < SMALL_JOBS; i++) {
        String id = String.format("%016x", 0x500 + i);
        Instance entry = instances.get(i % instances.size());
        String body = Cell.job(1, CORE_MILLIS, SMALL_TASK_MILLIS);
        if (cell.call(entry, "POST", Cell.OTHER_QUEUE + id, Cell.OTHER_KEY, body).accepted()) {
          accepted.add(id);
        }
      }
      Thread.sleep(1_000);
      record.say(
          "%d jobs of one task are accepted; tasks at work: %d",
          accepted.size(), accepted.stream().mapToLong(cell::runningOf).sum());
      int width = trouble ? TASKS : USUAL_TASKS;
      for (int i = 0; i < TASKS / width; i++) {
        String id = String.format("%016x", 0x900 + i);
        String path = Cell.QUEUE + id;
        String body = Cell.job(width, CORE_MILLIS, TASK_MILLIS);
        for (int attempt = 0; attempt <= RETRIES; attempt++) {
          Instance entry = instances.get((i + attempt) % instances.size());
          if (cell.call(entry, "POST", path, Cell.KEY, body).accepted()) {
            accepted.add(id);
            break;
          }
          Thread.sleep(RETRY_MILLIS);
        }
        Thread.sleep(USUAL_GAP_MILLIS);
      }
      record.say("%d tasks are handed in, %d a job; %d jobs are accepted in all", TASKS, width, accepted.size());
      Thread.sleep(FINISH_MILLIS);
      Set<String> idle = new HashSet<>(accepted);
      int most = 0;
      long until = record.nowMillis() + WATCH_MILLIS;
      while (record.nowMillis() < until) {
        idle.removeIf(id -> cell.runningOf(id) > 0 || cell.endsOf(id).contains("done"));
        int now = cell.workers().stream().mapToInt(worker -> worker.tasks().size()).sum();
        most = Math.max(most, now);
        Thread.sleep(50);
      }
      record.say(
          "%d of the %d accepted jobs have had nothing running for %d ms; at most %d tasks ran",
          idle.size(), accepted.size(), WATCH_MILLIS, most);
      for (Instance instance : instances) {
        cell.call(instance, "GET", Cell.OTHER_QUEUE + accepted.get(0), Cell.OTHER_KEY, "");
      }
      long lapsed =
          accepted.stream()
              .flatMap(id -> cell.endsOf(id).stream())
              .filter("lapsed"::equals)
              .count();
      record.say("runs of the small jobs that lapsed: %d", lapsed);
      return idle.isEmpty();
    }
  }
}
