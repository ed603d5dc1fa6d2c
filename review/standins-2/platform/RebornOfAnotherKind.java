package review;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A runner crashes and starts again under its id as another kind; its ticket for a step is renewed
 * and a task of the step starts there, without the label that the step requires.
 */
final class RebornOfAnotherKind extends Case {

  private static final Cell.Queue SETTLE = new Cell.Queue("r-settle", "/pufi791/", 2, true);
  private static final String JOB_ID = "00000000000000c3";

  public static void main(String[] arguments) throws Exception {
    new RebornOfAnotherKind().run(arguments);
  }

  @Override
  Result play(Cell cell, Record record, boolean trouble) throws Exception {
    AtomicInteger starts = new AtomicInteger();
    AtomicInteger wrongStarts = new AtomicInteger();
    Runner.Observer observer =
        new Runner.Observer() {
          @Override
          public long workMillis(String task) {
            return 3_400;
          }

          @Override
          public void started(Runner runner, String task, int run, String spec) {
            starts.incrementAndGet();
            if (!runner.kind().equals("a")) {
              wrongStarts.incrementAndGet();
              record.line("ROUTE: " + task + " requires a, " + runner.id() + " is " + runner.kind());
            }
          }
        };
    Runner first = null;
    for (int index = 0; index < 24; index++) {
      Runner runner =
          cell.addRunner(
              observer,
              "i-%08x".formatted(0x7f3a9100 + index),
              Cell.ZONES.get(index / 8),
              index % 8 == 0 ? "a" : "b",
              "r1-" + index / 8,
              64_000);
      runner.requireTickets();
      first = index == 0 ? runner : first;
    }
    // The queue's policy allows all runners; the label is the client's own requirement.
    cell.startAdvice((step, runner) -> true);
    cell.publish(List.of(SETTLE), KEY);
    if (!cell.startInstances(4)) {
      return Result.NOT_RUN;
    }
    Thread.sleep(3_000);
    String job =
        "{\"spec\":\"settlement\",\"steps\":[{\"count\":12,\"cpu\":36000,\"mem_mb\":37000,"
            + "\"estimate_ms\":3400,\"requirements\":\"a\"}]}";
    if (!cell.submit(0, SETTLE.prefix() + JOB_ID, job, KEY).accepted()) {
      return Result.NOT_RUN;
    }
    Thread.sleep(1_500);
    if (starts.get() != 3) {
      record.line("expected 3 starts so far, one on each runner of kind a");
      return Result.NOT_RUN;
    }
    if (trouble) {
      first.crash();
      Thread.sleep(1_500);
      first.restart("b");
      cell.heartbeat(first);
    }
    for (int second = 0; second < 25; second++) {
      Thread.sleep(1_000);
      if (second % 5 == 4) {
        cell.call(second, "GET", SETTLE.prefix() + JOB_ID, null, KEY);
      }
    }
    record.line(starts.get() + " starts, " + wrongStarts.get() + " without the label");
    return wrongStarts.get() > 0 ? Result.BROKEN : Result.HELD;
  }
}
