package review3;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 11. A tenant's jobs of a task that fills, which name a share of a processor and no memory,
 * come at the same moment instead of one after the other. All accepted jobs are asked for
 * afterwards.
 */
final class FillBurst {

  private static final int FILL_JOBS = 8;
  private static final int OTHER_JOBS = 4;
  private static final int RETRIES = 4;
  /** Number of lost jobs after which no further ones are asked for, as the case has a time limit. */
  private static final int MAX_LOST = 3;

  private static final long FILL_WORK_MILLIS = 1_500;

  /** Bound finish_s of the site. */
  private static final long FINISH_MILLIS = 14_000;

  private static final String FILL_BODY =
      "{\"spec\":\"work="
          + FILL_WORK_MILLIS
          + "\",\"steps\":[{\"count\":1,\"cpu\":500,\"estimate_ms\":1500,\"fills\":true}]}";

  private static final String OTHER_BODY =
      "{\"spec\":\"work=3000\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":64,"
          + "\"estimate_ms\":3000}]}";

  private FillBurst() {}

  public static void main(String[] arguments) {
    Cell.play(arguments, FillBurst::play);
  }

  private static boolean play(Cell cell, boolean trouble) throws Exception {
    ArrayNode routes = Cell.array();
    Cell.addRoute(routes, "batch", 1);
    Cell.addRoute(routes, "check", 0);
    ArrayNode tenants = Cell.array();
    Cell.addTenant(tenants, "filler", 5);
    Cell.addTenant(tenants, "other", 5);
    cell.addWorkers(8, "a", 64_000);
    cell.start(3, routes, tenants);
    cell.awaitServing("batch", "filler");
    Thread.sleep(2_000);
    List<String> others = new ArrayList<>();
    for (int number = 0; number < OTHER_JOBS; number++) {
      String path = String.format(Locale.ROOT, "/check/00000000000000%02x", number);
      if (cell.sendUntil("POST", path, "other", OTHER_BODY, 3_000).status() == 200) {
        others.add(path);
      }
    }
    List<String> fills = new ArrayList<>();
    for (int number = 0; number < FILL_JOBS; number++) {
      fills.add(String.format(Locale.ROOT, "/batch/00000000000001%02x", number));
    }
    int accepted = trouble ? sendAtOnce(cell, fills) : sendInTurn(cell, fills);
    if (others.size() < OTHER_JOBS || accepted < FILL_JOBS) {
      throw new IllegalStateException("the cell did not accept the jobs");
    }
    Thread.sleep(FINISH_MILLIS);
    int lost = 0;
    for (String path : others) {
      lost += lost < MAX_LOST && !isAnswered(cell, path, "other") ? 1 : 0;
    }
    for (String path : fills) {
      lost += lost < MAX_LOST && !isAnswered(cell, path, "filler") ? 1 : 0;
    }
    for (Daemon daemon : cell.daemons) {
      cell.record.write(
          "process %s: internal faults of the coordinator: %d",
          daemon.name,
          daemon.logLines("internal fault").size());
    }
    return lost == 0;
  }

  private static int sendAtOnce(Cell cell, List<String> paths) throws InterruptedException {
    AtomicInteger accepted = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    for (int number = 0; number < paths.size(); number++) {
      String path = paths.get(number);
      // The burst is one of a zone's clients, whose edge machine places the jobs in the zone.
      Daemon daemon = cell.daemons.get(0);
      clients.add(
          Thread.ofVirtual()
              .start(
                  () -> {
                    if (cell.send(daemon, "POST", path, "filler", FILL_BODY).status() == 200) {
                      accepted.incrementAndGet();
                    }
                  }));
    }
    for (Thread client : clients) {
      client.join();
    }
    return accepted.get();
  }

  private static int sendInTurn(Cell cell, List<String> paths) throws InterruptedException {
    int accepted = 0;
    for (String path : paths) {
      accepted += cell.sendUntil("POST", path, "filler", FILL_BODY, 3_000).status() == 200 ? 1 : 0;
      Thread.sleep(FILL_WORK_MILLIS + 1_000);
    }
    return accepted;
  }

  /** Asks for a job as a client does: with its retries, at one process after another. */
  private static boolean isAnswered(Cell cell, String path, String team)
      throws InterruptedException {
    for (int attempt = 0; attempt <= RETRIES; attempt++) {
      Daemon daemon = cell.daemons.get(attempt % cell.daemons.size());
      if (cell.send(daemon, "GET", path, team, null).status() == 200) {
        cell.record.write("accepted job %s is known", path);
        return true;
      }
      Thread.sleep(500);
    }
    cell.record.write("accepted job %s is not answered for: LOST", path);
    return false;
  }
}
