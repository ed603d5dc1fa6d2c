package review3;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 14. The only runner of a kind goes silent for good, jobs for it are handed in, and the
 * coordinator is killed. The number of jobs that have not begun is asked for.
 */
final class PendingCount {

  private static final int JOBS = 6;
  private static final long VISIBLE_MILLIS = 3_000;
  private static final long CONTACT_MILLIS = 3_000;
  private static final String BODY =
      "{\"spec\":\"work=2000\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,"
          + "\"estimate_ms\":2000,\"requirements\":\"b\"}]}";

  private PendingCount() {}

  public static void main(String[] arguments) {
    Cell.play(arguments, PendingCount::play);
  }

  private static boolean play(Cell cell, boolean trouble) throws Exception {
    ArrayNode routes = Cell.array();
    Cell.addRoute(routes, "batch", 1);
    ArrayNode tenants = Cell.array();
    Cell.addTenant(tenants, "team", 50);
    cell.addWorkers(7, "a", 64_000);
    cell.addWorkers(1, "b", 64_000);
    Worker only = cell.workers.get(7);
    cell.start(3, routes, tenants);
    cell.awaitServing("batch", "team");
    Thread.sleep(3_000);
    // The clients have open connections before they hand in their jobs.
    for (int round = 0; round < 3; round++) {
      send(cell, "GET");
      Thread.sleep(300);
    }
    if (trouble) {
      only.goSilent();
    }
    int accepted = send(cell, "POST");
    long acceptedAtMillis = cell.record.nowMillis();
    if (accepted < JOBS) {
      throw new IllegalStateException("the cell did not accept the jobs");
    }
    if (trouble) {
      Thread.sleep(500);
      cell.coordinator().kill();
    }
    boolean held = true;
    long killedAtMillis = cell.record.nowMillis();
    long firstMillis =
        Math.max(acceptedAtMillis + VISIBLE_MILLIS + 2_000, killedAtMillis + CONTACT_MILLIS + 1000);
    Thread.sleep(Math.max(0, firstMillis - cell.record.nowMillis()));
    for (int look = 0; look < 8; look++) {
      for (Daemon daemon : cell.daemons) {
        Cell.Reply reply = cell.send(daemon, "GET", "/batch/", "team", null);
        if (reply.status() == 200) {
          int count = Integer.parseInt(reply.field("pending_count"));
          int due = JOBS - cell.startedJobs();
          boolean wrong = 2 * count < due;
          cell.record.write("%s says %d; %d accepted jobs have not begun%s", daemon.name, count,
              due, wrong ? ": MIXED" : "");
          held &= !wrong;
        }
      }
      Thread.sleep(500);
    }
    return held;
  }

  /** Sends a request on each job at the same moment; returns how many are answered with success. */
  private static int send(Cell cell, String method) throws InterruptedException {
    List<Thread> clients = new ArrayList<>();
    AtomicInteger successful = new AtomicInteger();
    for (int number = 0; number < JOBS; number++) {
      String path = String.format(Locale.ROOT, "/batch/00000000000000%02x", number);
      Daemon daemon = cell.daemons.get(number % cell.daemons.size());
      String body = method.equals("POST") ? BODY : null;
      clients.add(
          Thread.ofVirtual()
              .start(
                  () -> {
                    if (cell.send(daemon, method, path, "team", body).status() == 200) {
                      successful.incrementAndGet();
                    }
                  }));
    }
    for (Thread client : clients) {
      client.join();
    }
    return successful.get();
  }
}
