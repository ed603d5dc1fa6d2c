package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Runners are lost for good; jobs that were placed on them before this was known, and of which
 * nothing has ever started, are not counted as pending, since a placement counts as a start.
 */
final class WaitingNotCounted extends Case {

  private static final Cell.Queue CHECK = new Cell.Queue("r-check", "/pule252/", 0, false);
  private static final int JOBS = 12;

  /** Age from which an accepted job that has not begun has to be counted: visible_ms and 2 s. */
  private static final long COUNTED_MILLIS = 3_000 + 2_000;

  public static void main(String[] arguments) throws Exception {
    new WaitingNotCounted().run(arguments);
  }

  @Override
  Result play(Cell cell, Record record, boolean trouble) throws Exception {
    Set<String> begun = ConcurrentHashMap.newKeySet();
    Runner.Observer observer =
        new Runner.Observer() {
          @Override
          public long workMillis(String task) {
            return 9_000;
          }

          @Override
          public void started(Runner runner, String task, int run, String spec) {
            begun.add(task.substring(0, 16));
          }
        };
    // 24 runners, two of them of kind a.
    List<Runner> lost = new ArrayList<>();
    for (int index = 0; index < 24; index++) {
      String kind = index % 12 == 0 ? "a" : "b";
      Runner runner =
          cell.addRunner(
              observer,
              "i-%08x".formatted(0x7f3a9100 + index),
              Cell.ZONES.get(index / 8),
              kind,
              "r1-" + index / 8,
              64_000);
      if (kind.equals("a")) {
        lost.add(runner);
      }
    }
    cell.publish(List.of(CHECK), KEY);
    if (!cell.startInstances(4)) {
      return Result.NOT_RUN;
    }
    Thread.sleep(3_000);
    if (trouble) {
      lost.forEach(Runner::lose);
      record.line("2 of 24 runners are lost for good");
    }
    String job =
        "{\"spec\":\"check\",\"steps\":[{\"count\":2,\"cpu\":2000,\"mem_mb\":2000,"
            + "\"estimate_ms\":800,\"requirements\":\"a\"}]}";
    for (int index = 0; index < JOBS; index++) {
      String id = "00000000000000%02x".formatted(index);
      if (!cell.call(index, "POST", CHECK.prefix() + id, job, KEY).accepted()) {
        return Result.NOT_RUN;
      }
    }
    long acceptedNanos = System.nanoTime();
    Thread.sleep(COUNTED_MILLIS + 200 - (System.nanoTime() - acceptedNanos) / 1_000_000);
    Result result = Result.HELD;
    for (int instance = 0; instance < 4; instance++) {
      Cell.Answer answer = cell.call(instance, "GET", CHECK.prefix(), null, KEY);
      long waiting = 0;
      for (int index = 0; index < JOBS; index++) {
        waiting += begun.contains("00000000000000%02x".formatted(index)) ? 0 : 1;
      }
      if (!answer.accepted()) {
        return Result.NOT_RUN;
      }
      long count = Cell.json(answer).path("pending_count").asLong();
      record.line(waiting + " jobs accepted over 5 s ago have not begun, counted: " + count);
      if (2 * count < waiting) {
        result = Result.BROKEN;
      }
    }
    cell.call(0, "GET", CHECK.prefix() + "0000000000000000", null, KEY);
    return result;
  }
}
