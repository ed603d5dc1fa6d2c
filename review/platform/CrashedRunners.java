package org.cicadaford.adapter.standin;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** The runner of a task crashes twice; no run of the task ends as failed. */
final class CrashedRunners {
  private static final String ID = "00000000000000c2";
  private static final int TASK_MILLIS = 3_000;
  private static final int CRASHES = 2;
  private static final int CRASH_DELAY_MILLIS = 80;
  private static final int DOWN_MILLIS = 3_000;

  private CrashedRunners() {}

  static boolean run(Record record, Path root, boolean trouble) throws Exception {
    ScheduledExecutorService later = Executors.newScheduledThreadPool(1);
    try (Cell cell = new Cell(record, root, 4, 8)) {
      cell.start();
      AtomicInteger crashes = new AtomicInteger();
      if (trouble) {
        cell.onStart(
            (worker, task, run) -> {
              if (task.startsWith(ID) && crashes.getAndIncrement() < CRASHES) {
                later.schedule(
                    () -> crash(cell, worker, later), CRASH_DELAY_MILLIS, TimeUnit.MILLISECONDS);
              }
            });
      }
      Instance instance = cell.instances().get(0);
      String path = Cell.QUEUE + ID;
      Http.Answer accepted =
          cell.call(instance, "POST", path, Cell.KEY, Cell.job(1, 4_000, TASK_MILLIS));
      if (!accepted.accepted()) {
        throw new CannotRunException("the job was not accepted: " + accepted);
      }
      String state = "";
      List<String> finalStates = List.of("completed", "failed");
      for (int second = 0; second < 60 && !finalStates.contains(state); second++) {
        Thread.sleep(1_000);
        String body = cell.call(instance, "GET", path, Cell.KEY, "").body();
        state = body.replaceAll(".*\"state\":\"([a-z]+)\".*", "$1");
      }
      List<String> ends = cell.endsOf(ID);
      record.say("the job is shown as %s; its runs have ended as %s", state, ends);
      return state.equals("completed");
    } finally {
      later.shutdownNow();
    }
  }

  private static void crash(Cell cell, Worker worker, ScheduledExecutorService later) {
    String id = worker.id();
    worker.crash();
    later.schedule(
        () -> {
          worker.start(id);
          cell.publishEntry(worker);
          return null;
        },
        DOWN_MILLIS,
        TimeUnit.MILLISECONDS);
  }
}
