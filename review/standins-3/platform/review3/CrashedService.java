package review3;

import com.fasterxml.jackson.databind.node.ArrayNode;

/**
 * Case 13. The only runner of a kind, on which a service runs, crashes again and again soon after
 * it is back, and then is sound. The state of the service is asked for.
 */
final class CrashedService {

  private static final int CRASHES = 14;
  private static final long UP_MILLIS = 200;
  private static final long DOWN_MILLIS = 1_000;
  private static final long SOUND_MILLIS = 15_000;
  private static final String PATH = "/service/00000000000000c1";
  private static final String BODY =
      "{\"spec\":\"lasting\",\"steps\":[{\"count\":1,\"cpu\":4000,\"mem_mb\":1024,"
          + "\"estimate_ms\":1000,\"requirements\":\"b\",\"long_running\":true}]}";

  private CrashedService() {}

  public static void main(String[] arguments) {
    Cell.play(arguments, CrashedService::play);
  }

  private static boolean play(Cell cell, boolean trouble) throws Exception {
    ArrayNode routes = Cell.array();
    Cell.addRoute(routes, "service", 1);
    ArrayNode tenants = Cell.array();
    Cell.addTenant(tenants, "team", 5);
    cell.addWorkers(7, "a", 64_000);
    cell.addWorkers(1, "b", 64_000);
    Worker only = cell.workers.get(7);
    cell.start(3, routes, tenants);
    cell.awaitServing("service", "team");
    if (cell.sendUntil("POST", PATH, "team", BODY, 3_000).status() != 200) {
      throw new IllegalStateException("the calm cell did not accept the job");
    }
    Thread.sleep(5_000);
    for (int crash = 0; trouble && crash < CRASHES; crash++) {
      // The times do not depend on what the runner is told to start.
      only.crash();
      Thread.sleep(DOWN_MILLIS);
      only.start();
      Thread.sleep(UP_MILLIS);
    }
    long until = cell.record.nowMillis() + SOUND_MILLIS;
    boolean failed = false;
    while (cell.record.nowMillis() < until && !failed) {
      Thread.sleep(1_000);
      Cell.Reply reply = cell.sendUntil("GET", PATH, "team", null, 3_000);
      failed = reply.field("state").equals("failed") || reply.field("state").equals("cancelled");
    }
    cell.record.write("the service is %s; no run has ended failed", failed ? "given up: LOST" : "kept");
    return !failed;
  }
}
