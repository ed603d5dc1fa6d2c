package org.cicadaford.adapter.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A start that a runner left unanswered is carried out by its next life. */
final class LateStart {
  private static final String ID = "00000000000000c3";
  private static final int TASK_MILLIS = 800;

  /** Orders are carried out 2 to 12 s late. */
  private static final int CRASH_AFTER_MILLIS = 2_500;

  private static final int OTHER_JOBS = 20;
  private static final int MARGIN_MILLIS = 300;
  private static final int DOWN_MILLIS = 500;

  /** Time from the begin of the next life until the late order is carried out. */
  private static final int LATE_MILLIS = 10;

  private static final int WATCH_MILLIS = 3_000;

  private LateStart() {}

  static boolean run(Record record, Path root, boolean trouble) throws Exception {
    ScheduledExecutorService later = Executors.newScheduledThreadPool(1);
    try (Cell cell = new Cell(record, root, 4, 8)) {
      cell.start();
      String path = Cell.QUEUE + ID;
      AtomicInteger startsAfterEnd = new AtomicInteger();
      AtomicBoolean left = new AtomicBoolean(!trouble);
      cell.leaveUnanswered(
          (worker, order) -> {
            boolean first =
                order.path("task").asText().startsWith(ID) && left.compareAndSet(false, true);
            if (first) {
              // The other task here ends now, so that the next start goes to a fuller runner.
              worker.finishRuns();
              later.schedule(
                  () -> restart(cell, worker, order, later, startsAfterEnd),
                  CRASH_AFTER_MILLIS,
                  TimeUnit.MILLISECONDS);
            }
            return first;
          });
      // Other work, so that the late order is one of many; it is over before the case goes on.
      for (int i = 0; i < OTHER_JOBS; i++) {
        submit(cell, String.format("%016x", 0x700 + i), 1_000, 100);
      }
      Thread.sleep(1_000);
      // Placement takes the fullest runner with room: the second job's, later the first job's.
      submit(cell, "00000000000000f1", 30_000, 60_000);
      submit(cell, "00000000000000f2", 40_000, 60_000);
      Thread.sleep(1_000);
      submit(cell, ID, 20_000, TASK_MILLIS);
      Thread.sleep(CRASH_AFTER_MILLIS - MARGIN_MILLIS);
      Http.Answer shown = cell.call(cell.instances().get(0), "GET", path, Cell.KEY, "");
      boolean noted = cell.notedDone(ID + ".0.0.0");
      Thread.sleep(MARGIN_MILLIS + DOWN_MILLIS + WATCH_MILLIS);
      if (!noted || !shown.body().contains("completed")) {
        throw new CannotRunException("the job was not completed in time: " + shown);
      }
      record.say(
          "the job was shown as completed and the end of its task taken note of; starts of the"
              + " task after that: %d",
          startsAfterEnd.get());
      record.say("runners received %d start orders in all", cell.starts());
      return startsAfterEnd.get() == 0;
    } finally {
      later.shutdownNow();
    }
  }

  private static void submit(Cell cell, String id, int cpu, int millis) throws CannotRunException {
    Http.Answer answer =
        cell.call(
            cell.instances().get(0),
            "POST",
            Cell.QUEUE + id,
            Cell.KEY,
            Cell.job(1, cpu, millis));
    if (!answer.accepted()) {
      throw new CannotRunException("a job was not accepted: " + answer);
    }
  }

  private static Void restart(
      Cell cell,
      Worker worker,
      JsonNode order,
      ScheduledExecutorService later,
      AtomicInteger startsAfterEnd)
      throws Exception {
    String id = worker.id();
    worker.crash();
    Thread.sleep(DOWN_MILLIS);
    worker.start(id);
    cell.publishEntry(worker);
    later.schedule(
        () -> {
          boolean noted = cell.notedDone(order.path("task").asText());
          HttpStandin.Answer answer = worker.carryOut(order);
          if (noted && answer.status() == 200) {
            startsAfterEnd.incrementAndGet();
          }
          cell.record().write(
              "runner %s carries out the late start of %s run %d: %d",
              id, order.path("task").asText(), order.path("run").asInt(), answer.status());
        },
        LATE_MILLIS,
        TimeUnit.MILLISECONDS);
    return null;
  }
}
