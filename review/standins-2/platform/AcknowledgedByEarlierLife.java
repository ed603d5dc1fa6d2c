package review;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Runners crash and start again under their ids. A renewal with the cursor of the earlier life
 * reaches ends of the new one that the coordinator has not read, and the tasks start again.
 */
final class AcknowledgedByEarlierLife extends Case {

  private static final Cell.Queue CHECK = new Cell.Queue("r-check", "/pule252/", 0, false);
  private static final int RUNNERS = 24;

  /** Runners that crash at once, a share of 0.125. */
  private static final int CRASHED = 3;

  private static final int CRASHES = 30;

  /** Least and most time for which runners are down; the site file allows 4.5 s. */
  private static final int MIN_DOWN_MILLIS = 300;

  private static final int MAX_DOWN_MILLIS = 1_500;

  /** Jobs that clients hand in at once, and their tasks. */
  private static final int JOBS = 4;

  private static final int TASKS = 48;
  private static final long WORK_MILLIS = 100;

  public static void main(String[] arguments) throws Exception {
    new AcknowledgedByEarlierLife().run(arguments);
  }

  /** Sees which ends {@code done} are taken note of, and which tasks start after that. */
  private static final class Ledger implements Runner.Observer {
    private final Record record;
    private final Map<String, String> notedEnds = new HashMap<>();
    private int starts;
    private int startsAgain;

    private Ledger(Record record) {
      this.record = record;
    }

    @Override
    public long workMillis(String task) {
      return WORK_MILLIS;
    }

    @Override
    public synchronized void started(Runner runner, String task, int run, String spec) {
      starts++;
      String noted = notedEnds.get(task);
      if (noted != null) {
        startsAgain++;
        record.line("TWICE: " + runner.id() + " starts " + task + " run " + run + "; " + noted);
      }
    }

    @Override
    public synchronized void noted(Runner runner, String task, int run, String how, long cursor) {
      if (how.equals("done")) {
        notedEnds.put(
            task,
            "run %d ended done on %s, born %d, and ack_cursor %d reached it"
                .formatted(run, runner.id(), runner.born(), cursor));
      }
    }

    private synchronized String counts() {
      return "%d starts, %d tasks whose end done is noted, %d starts after that"
          .formatted(starts, notedEnds.size(), startsAgain);
    }

    private synchronized boolean broken() {
      return startsAgain > 0;
    }
  }

  @Override
  Result play(Cell cell, Record record, boolean trouble) throws Exception {
    Ledger ledger = new Ledger(record);
    for (int index = 0; index < RUNNERS; index++) {
      cell.addRunner(
              ledger,
              "i-%08x".formatted(0x7f3a9100 + index),
              Cell.ZONES.get(index % 3),
              index % 2 == 0 ? "a" : "b",
              "r1-" + index % 3,
              64_000)
          .quiet();
    }
    cell.publish(List.of(CHECK), KEY);
    if (!cell.startInstances(4)) {
      return Result.NOT_RUN;
    }
    Thread.sleep(3_000);
    Random random = new Random(29);
    try (ExecutorService clients = Executors.newCachedThreadPool()) {
      int jobs = submit(cell, clients, 0);
      for (int crash = 0; crash < CRASHES && !ledger.broken(); crash++) {
        Thread.sleep(1_500);
        List<Runner> crashed = new ArrayList<>(cell.runners());
        Collections.shuffle(crashed, random);
        crashed = crashed.subList(0, CRASHED);
        if (trouble) {
          crashed.forEach(Runner::crash);
        }
        Thread.sleep(MIN_DOWN_MILLIS + random.nextInt(MAX_DOWN_MILLIS - MIN_DOWN_MILLIS));
        if (trouble) {
          for (Runner runner : crashed) {
            runner.restart(runner.kind());
            cell.heartbeat(runner);
          }
        }
        Thread.sleep(random.nextInt(100));
        jobs = submit(cell, clients, jobs);
        record.line(ledger.counts());
      }
      Thread.sleep(5_000);
      clients.shutdown();
      clients.awaitTermination(5, TimeUnit.SECONDS);
      record.line(jobs + " jobs of " + TASKS + " tasks; " + ledger.counts());
    }
    return ledger.broken() ? Result.BROKEN : Result.HELD;
  }

  /** Hands jobs in at once; {@code first} is the number of the first one. */
  private static int submit(Cell cell, ExecutorService clients, int first) {
    String job =
        "{\"spec\":\"check\",\"steps\":[{\"count\":%d,\"cpu\":8000,\"mem_mb\":7300,"
                .formatted(TASKS)
            + "\"estimate_ms\":%d}]}".formatted(WORK_MILLIS);
    for (int number = first; number < first + JOBS; number++) {
      int instance = number;
      String path = CHECK.prefix() + "00000000000%05x".formatted(number);
      clients.submit(() -> cell.submit(instance, path, job, KEY));
    }
    return first + JOBS;
  }
}
