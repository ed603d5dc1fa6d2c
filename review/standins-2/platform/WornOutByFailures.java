package review;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Tasks that last fail now and then; after tasks of three jobs have failed on a runner, it gets no
 * further task while it runs any, for good, until nothing can be started again anywhere.
 */
final class WornOutByFailures extends Case {

  private static final Cell.Queue SERVICES = new Cell.Queue("r-serve", "/kalo370/", 1, false);
  private static final int JOBS = 8;
  private static final int TASKS = 12;
  private static final int CPU = 4_000;

  /** Mean time until a run fails, in milliseconds. */
  private static final long MEAN_LIFE_MILLIS = 12_000;

  /** From 6 s after its last run a task that lasts may have nothing running for 3 s. */
  private static final long LIMIT_MILLIS = 6_000 + 3_000;

  private static final long PLAY_MILLIS = 80_000;

  private final Random random = new Random(17);
  private final Map<String, Long> endedNanos = new HashMap<>();

  public static void main(String[] arguments) throws Exception {
    new WornOutByFailures().run(arguments);
  }

  @Override
  Result play(Cell cell, Record record, boolean trouble) throws Exception {
    Runner.Observer observer =
        new Runner.Observer() {
          @Override
          public long workMillis(String task) {
            synchronized (endedNanos) {
              double life = -MEAN_LIFE_MILLIS * Math.log(1 - random.nextDouble());
              return trouble ? 500 + (long) life : 1_000_000;
            }
          }

          @Override
          public String endOf(String task) {
            return "failed";
          }

          @Override
          public boolean lasts(String task) {
            return true;
          }

          @Override
          public void started(Runner runner, String task, int run, String spec) {
            synchronized (endedNanos) {
              endedNanos.put(task, Long.MAX_VALUE);
            }
          }

          @Override
          public void ended(Runner runner, String task, int run, String how) {
            synchronized (endedNanos) {
              endedNanos.put(task, System.nanoTime());
            }
          }
        };
    for (int index = 0; index < 24; index++) {
      cell.addRunner(
          observer,
          "i-%08x".formatted(0x7f3a9100 + index),
          Cell.ZONES.get(index / 8),
          index % 2 == 0 ? "a" : "b",
          "r1-" + index / 8,
          64_000);
    }
    cell.publish(List.of(SERVICES), KEY);
    if (!cell.startInstances(4)) {
      return Result.NOT_RUN;
    }
    Thread.sleep(3_000);
    for (int index = 0; index < JOBS; index++) {
      String job =
          "{\"spec\":\"service %d\",\"steps\":[{\"count\":%d,\"cpu\":%d,\"mem_mb\":2000,"
                  .formatted(index, TASKS, CPU)
              + "\"estimate_ms\":1000,\"long_running\":true}]}";
      if (!cell.submit(index, SERVICES.prefix() + jobId(index), job, KEY).accepted()) {
        return Result.NOT_RUN;
      }
    }
    Thread.sleep(3_000);
    long beginNanos = System.nanoTime();
    int mostMissing = 0;
    while ((System.nanoTime() - beginNanos) / 1_000_000 < PLAY_MILLIS) {
      Thread.sleep(1_000);
      int missing = missingFor(LIMIT_MILLIS);
      int running = cell.runners().stream().mapToInt(Runner::runningCount).sum();
      mostMissing = Math.max(mostMissing, missing);
      long idleRunners = cell.runners().stream().filter(r -> r.runningCount() == 0).count();
      record.line(
          "%d of %d tasks run on %d of 24 runners, %d of 1536 cores; %d have had no run for over %d ms"
              .formatted(
                  running,
                  JOBS * TASKS,
                  24 - idleRunners,
                  running * CPU / 1_000,
                  missing,
                  LIMIT_MILLIS));
      if (mostMissing >= JOBS * TASKS / 3) {
        break;
      }
    }
    cell.call(0, "GET", SERVICES.prefix() + jobId(0), null, KEY);
    record.line("at most " + mostMissing + " tasks had no run for over " + LIMIT_MILLIS + " ms");
    return mostMissing > 0 ? Result.BROKEN : Result.HELD;
  }

  private static String jobId(int index) {
    return "00000000000005%02x".formatted(index);
  }

  /** Returns the number of tasks whose last run ended longer ago than {@code millis}. */
  private int missingFor(long millis) {
    int missing = 0;
    synchronized (endedNanos) {
      for (int job = 0; job < JOBS; job++) {
        for (int task = 0; task < TASKS; task++) {
          Long ended = endedNanos.get(jobId(job) + ".0.0." + task);
          // The rule counts from the last run, so a task that never ran is not counted here.
          boolean waits = ended != null && ended != Long.MAX_VALUE;
          if (waits && System.nanoTime() - ended > millis * 1_000_000) {
            missing++;
          }
        }
      }
    }
    return missing;
  }
}
