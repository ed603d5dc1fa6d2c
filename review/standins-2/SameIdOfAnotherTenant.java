package review;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Two tenants choose the same id for jobs of two queues; the second one is told that its job is
 * accepted, but it is not stored, never runs, and is unknown when asked for.
 */
final class SameIdOfAnotherTenant extends Case {

  private static final Cell.Queue PRIZE = new Cell.Queue("r-prize", "/kalo370/", 1, false);
  private static final Cell.Queue SETTLE = new Cell.Queue("r-settle", "/pufi791/", 2, false);
  private static final String ORDER_17 = "0000000000000017";
  private static final String ORDER_18 = "0000000000000018";

  public static void main(String[] arguments) throws Exception {
    new SameIdOfAnotherTenant().run(arguments);
  }

  @Override
  Result play(Cell cell, Record record, boolean trouble) throws Exception {
    Set<String> specsRun = ConcurrentHashMap.newKeySet();
    Runner.Observer observer =
        new Runner.Observer() {
          @Override
          public long workMillis(String task) {
            return 800;
          }

          @Override
          public void started(Runner runner, String task, int run, String spec) {
            specsRun.add(spec);
          }
        };
    for (int index = 0; index < 24; index++) {
      cell.addRunner(
          observer,
          "i-%08x".formatted(0x7f3a9100 + index),
          Cell.ZONES.get(index / 8),
          "a",
          "r1-" + index / 8,
          64_000);
    }
    cell.publish(List.of(PRIZE, SETTLE), KEY, OTHER_KEY);
    if (!cell.startInstances(4)) {
      return Result.NOT_RUN;
    }
    Thread.sleep(3_000);
    String first = PRIZE.prefix() + ORDER_17;
    String second = SETTLE.prefix() + (trouble ? ORDER_17 : ORDER_18);
    if (!cell.submit(0, first, job("prize list"), KEY).accepted()) {
      return Result.NOT_RUN;
    }
    Cell.Answer answer = cell.submit(1, second, job("settlement"), OTHER_KEY);
    if (!answer.accepted()) {
      record.line("the second job was not accepted, so nothing is owed");
      return Result.HELD;
    }
    // visible_ms is 3,000.
    Thread.sleep(4_000);
    boolean unknown = false;
    for (int instance = 0; instance < 4; instance++) {
      unknown |= cell.call(instance, "GET", second, null, OTHER_KEY).status() == 410;
    }
    cell.call(0, "GET", first, null, KEY);
    record.line("specs that have run: " + specsRun);
    return unknown || !specsRun.contains("settlement") ? Result.BROKEN : Result.HELD;
  }

  private static String job(String spec) {
    return "{\"spec\":\"%s\",\"steps\":[{\"count\":2,\"cpu\":5100,\"mem_mb\":7300,"
            .formatted(spec)
        + "\"estimate_ms\":800}]}";
  }
}
