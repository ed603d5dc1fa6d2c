package review;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The record of a scheduled job grows with each occurrence that is done, until the store refuses
 * it; from then on no instance can store anything and nothing starts any more.
 */
final class OutgrownRecord extends Case {

  private static final Cell.Queue CHECK = new Cell.Queue("r-check", "/pule252/", 0, false);
  private static final Cell.Queue SETTLE = new Cell.Queue("r-settle", "/pufi791/", 2, false);
  private static final String JOB_ID = "00000000000000d4";

  /**
   * Time without a start after which the traffic ends and the rule is judged, in milliseconds. It
   * counts only once the store has refused a record, so that a pause of a busy machine ends no play.
   */
  private static final long STALL_MILLIS = 3_000;

  /** finish_s, in milliseconds. */
  private static final long FINISH_MILLIS = 14_000;

  /** Time for which a job may have nothing running while its turn has come, in milliseconds. */
  private static final long NOTHING_RUNNING_MILLIS = 3_000;

  /** Added to the rule's time, for the pauses of the watching thread. */
  private static final long MARGIN_MILLIS = 500;

  /** Time for which the job is watched at most, in milliseconds. */
  private static final long WATCH_MILLIS = 15_000;

  private static final long PLAY_MILLIS = 60_000;

  public static void main(String[] arguments) throws Exception {
    new OutgrownRecord().run(arguments);
  }

  @Override
  Result play(Cell cell, Record record, boolean trouble) throws Exception {
    AtomicInteger starts = new AtomicInteger();
    AtomicInteger ends = new AtomicInteger();
    AtomicLong lastStartNanos = new AtomicLong(System.nanoTime());
    Runner.Observer observer =
        new Runner.Observer() {
          @Override
          public long workMillis(String task) {
            return 1;
          }

          @Override
          public void started(Runner runner, String task, int run, String spec) {
            if (task.startsWith(JOB_ID)) {
              starts.incrementAndGet();
              lastStartNanos.set(System.nanoTime());
            }
          }

          @Override
          public void ended(Runner runner, String task, int run, String how) {
            if (task.startsWith(JOB_ID) && how.equals("done")) {
              ends.incrementAndGet();
            }
          }
        };
    for (int index = 0; index < 24; index++) {
      Runner runner =
          cell.addRunner(
              observer,
              "i-%08x".formatted(0x7f3a9100 + index),
              Cell.ZONES.get(index / 8),
              index % 2 == 0 ? "a" : "b",
              "r1-" + index / 8,
              64_000);
      runner.quiet();
    }
    cell.publish(List.of(CHECK, SETTLE), KEY);
    if (!cell.startInstances(4)) {
      return Result.NOT_RUN;
    }
    Thread.sleep(3_000);
    // Due each second since a while ago, so that all occurrences are due now. The record is the same
    // as that of a job handed in in time, after as many seconds.
    int times = trouble ? 90_000 : 15_000;
    String job =
        "{\"spec\":\"x\",\"times\":%d,\"first_ms\":%d,\"interval_ms\":1000,".formatted(
                times, System.currentTimeMillis() - 1_000L * times)
            + "\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":256,\"estimate_ms\":5}]}";
    if (!cell.submit(0, SETTLE.prefix() + JOB_ID, job, KEY).accepted()) {
      return Result.NOT_RUN;
    }
    long beginNanos = System.nanoTime();
    int check = 0;
    int refused = 0;
    while ((System.nanoTime() - beginNanos) / 1_000_000 < PLAY_MILLIS) {
      Thread.sleep(1_000);
      long idleMillis = (System.nanoTime() - lastStartNanos.get()) / 1_000_000;
      if (check % 5 == 0 || idleMillis > 2_000) {
        record.line(
            starts.get() + " starts, " + ends.get() + " done, the last start was " + idleMillis
                + " ms ago, oversized appends " + cell.store().oversized());
      }
      String id = "00000000000e%04x".formatted(check);
      String small =
          "{\"spec\":\"check\",\"steps\":[{\"count\":1,\"cpu\":5100,\"mem_mb\":7300,"
              + "\"estimate_ms\":800}]}";
      Cell.Answer answer = cell.call(check++, "POST", CHECK.prefix() + id, small, KEY);
      refused = answer.accepted() ? 0 : refused + 1;
      cell.restartExited();
      if (starts.get() >= times && ends.get() >= times) {
        break;
      }
      if (idleMillis > STALL_MILLIS && cell.store().oversized() > 0) {
        record.line("the last " + refused + " submissions of other jobs failed; the traffic ends");
        break;
      }
    }
    if (starts.get() < times) {
      Thread.sleep(FINISH_MILLIS);
      long idleMillis = longestIdleMillis(cell, starts);
      cell.call(1, "GET", SETTLE.prefix() + JOB_ID, null, KEY);
      record.line(
          "from 14 s after the traffic on, nothing ran for %d ms; %d of %d occurrences done, all due"
              .formatted(idleMillis, ends.get(), times));
      record.line("the store has taken " + cell.store().storedBytes() / 1_000_000 + " MB");
      boolean broken = idleMillis > NOTHING_RUNNING_MILLIS + MARGIN_MILLIS;
      return broken ? Result.BROKEN : Result.HELD;
    }
    cell.call(1, "GET", SETTLE.prefix() + JOB_ID, null, KEY);
    record.line(starts.get() + " starts, " + ends.get() + " done, " + times + " asked for");
    return Result.HELD;
  }

  /** Watches the runners until the job had nothing running for long enough, or the time is over. */
  private static long longestIdleMillis(Cell cell, AtomicInteger starts)
      throws InterruptedException {
    long beginNanos = System.nanoTime();
    long busyNanos = beginNanos;
    int knownStarts = starts.get();
    long longestMillis = 0;
    while (longestMillis <= NOTHING_RUNNING_MILLIS + MARGIN_MILLIS
        && System.nanoTime() - beginNanos < WATCH_MILLIS * 1_000_000) {
      Thread.sleep(20);
      boolean runs = cell.runners().stream().anyMatch(runner -> runner.runningCount() > 0);
      if (runs || starts.get() != knownStarts) {
        knownStarts = starts.get();
        busyNanos = System.nanoTime();
      }
      longestMillis = Math.max(longestMillis, (System.nanoTime() - busyNanos) / 1_000_000);
    }
    return longestMillis;
  }
}
