package review;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A gang that can never be done keeps all runners with a label reserved, so that a job of a less
 * urgent queue that needs the label never starts on idle runners.
 */
final class StarvedByGang extends Case {

  private static final Cell.Queue PRIZE = new Cell.Queue("r-prize", "/kalo370/", 1, false);
  private static final Cell.Queue SETTLE = new Cell.Queue("r-settle", "/pufi791/", 2, false);
  private static final String GANG_ID = "00000000000000a1";
  private static final String JOB_ID = "00000000000000b2";

  /** finish_s, and the 3 s for which a job may then have nothing running, in milliseconds. */
  private static final long LIMIT_MILLIS = 14_000 + 3_000;

  /** Sound jobs of the gang's queue beside it, so that it is under 0.05 of them. */
  private static final int SOUND_JOBS = 20;

  public static void main(String[] arguments) throws Exception {
    new StarvedByGang().run(arguments);
  }

  @Override
  Result play(Cell cell, Record record, boolean trouble) throws Exception {
    AtomicLong jobStartedNanos = new AtomicLong();
    Runner.Observer observer =
        new Runner.Observer() {
          @Override
          public long workMillis(String task) {
            return 3_400;
          }

          @Override
          public void started(Runner runner, String task, int run, String spec) {
            if (task.startsWith(JOB_ID)) {
              jobStartedNanos.compareAndSet(0, System.nanoTime());
            }
          }
        };
    // 24 runners, a third of them of kind a.
    for (int index = 0; index < 24; index++) {
      String kind = index % 3 == 0 ? "a" : "b";
      String zone = Cell.ZONES.get(index / 8);
      cell.addRunner(
          observer, "i-%08x".formatted(0x7f3a9100 + index), zone, kind, "r1-" + index / 8, 64_000);
    }
    cell.publish(List.of(PRIZE, SETTLE), KEY);
    if (!cell.startInstances(4)) {
      return Result.NOT_RUN;
    }
    Thread.sleep(3_000);
    String sound =
        "{\"spec\":\"prize list\",\"steps\":[{\"count\":2,\"cpu\":18000,\"mem_mb\":19000,"
            + "\"estimate_ms\":3400}]}";
    for (int index = 0; index < SOUND_JOBS; index++) {
      String id = "00000000000007%02x".formatted(index);
      if (!cell.submit(index, PRIZE.prefix() + id, sound, KEY).accepted()) {
        return Result.NOT_RUN;
      }
    }
    if (trouble) {
      // 10 members of which at most one may run on a runner, and 8 runners with the label.
      String gang =
          "{\"spec\":\"prize list\",\"steps\":[{\"count\":10,\"cpu\":18000,\"mem_mb\":19000,"
              + "\"estimate_ms\":6200,\"gang\":true,\"anti_affinity\":1,\"requirements\":\"a\"}]}";
      if (!cell.submit(0, PRIZE.prefix() + GANG_ID, gang, KEY).accepted()) {
        return Result.NOT_RUN;
      }
    }
    Thread.sleep(2_000);
    String job =
        "{\"spec\":\"settlement\",\"steps\":[{\"count\":2,\"cpu\":3600,\"mem_mb\":3700,"
            + "\"estimate_ms\":3400,\"requirements\":\"a\"}]}";
    if (!cell.submit(1, SETTLE.prefix() + JOB_ID, job, KEY).accepted()) {
      return Result.NOT_RUN;
    }
    long acceptedNanos = System.nanoTime();
    // The traffic ends here; the rest shows that it doesn't end by itself.
    for (int second = 1; second <= 30 && jobStartedNanos.get() == 0; second++) {
      Thread.sleep(1_000);
      if (second % 5 == 0) {
        cell.call(second, "GET", SETTLE.prefix() + JOB_ID, null, KEY);
        record.line("runners at work: " + cell.runners().stream().filter(r -> r.runningCount() > 0).count() + " of 24");
      }
    }
    if (jobStartedNanos.get() == 0) {
      record.line("accepted 30 s ago, nothing of it has started, all runners are idle");
      return Result.BROKEN;
    }
    long waitedMillis = (jobStartedNanos.get() - acceptedNanos) / 1_000_000;
    record.line("the job started " + waitedMillis + " ms after it was accepted");
    return waitedMillis > LIMIT_MILLIS ? Result.BROKEN : Result.HELD;
  }
}
